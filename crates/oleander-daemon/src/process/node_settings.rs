//! Settings that all daemons have.

use crate::settings::Settings;
use log::LevelFilter;
use std::net::SocketAddr;

/// Identity, addresses and platform URLs of a process.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Name of the instance; unique in the deployment.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Region.
    pub region: String,
    /// Address of the HTTP server.
    pub http: SocketAddr,
    /// Address for messages from other processes, `tcp://IP:PORT`.
    pub link: String,
    /// Pass phrases of the link keys; the first one signs, all are accepted.
    pub link_keys: Vec<String>,
    /// Base URL of the platform's object store.
    pub store: String,
    /// Base URL of the platform's list of instances.
    pub list: String,
    /// Least severe level that is logged.
    pub log_level: LevelFilter,
    /// Number of traffic threads.
    pub traffic_threads: usize,
}

/// Reads the common sections `[node]`, `[platform]` and `[log]`; errors are recorded in `settings`.
pub fn read_node(settings: &mut Settings) -> NodeConfig {
    let unset = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = NodeConfig {
        name: settings.required("node", "name"),
        domain: settings.required("node", "failure-domain"),
        region: settings
            .text("node", "region")
            .unwrap_or_else(|| "default".to_owned()),
        http: settings.parsed("node", "http", unset, "IP:PORT"),
        link: settings.required("node", "link"),
        link_keys: settings.list("node", "link-keys"),
        store: settings.required("platform", "store"),
        list: settings.required("platform", "list"),
        log_level: settings.parsed(
            "log",
            "level",
            LevelFilter::Info,
            "off, error, warn, info, debug or trace",
        ),
        traffic_threads: settings.parsed("node", "traffic-threads", 2, "a whole number"),
    };
    check_node(settings, &config);
    config
}

fn check_node(settings: &mut Settings, config: &NodeConfig) {
    if config.http.port() == 0 {
        settings.record_error("node", "http", "must be set to IP:PORT with a port above 0");
    }
    settings.check_url("platform", "store", &config.store);
    settings.check_url("platform", "list", &config.list);
    let link = config.link.strip_prefix("tcp://");
    if link.is_none_or(|link| link.parse::<SocketAddr>().is_err()) {
        settings.record_error("node", "link", "must have the form tcp://IP:PORT");
    }
    if config.link_keys.is_empty() {
        settings.record_error("node", "link-keys", "must name at least one key");
    }
    if config.traffic_threads == 0 {
        settings.record_error("node", "traffic-threads", "must be at least 1");
    }
}
