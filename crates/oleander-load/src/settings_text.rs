//! Writes the settings files of the daemons.

use crate::deployment_cfg::DeploymentCfg;
use crate::node::Node;
use crate::platform::Platform;
use ini::{Ini, WriteOption};
use std::io;
use std::net::SocketAddr;

const LINK_KEYS: &str = "loopback";

/// What an agent's settings say of its endpoint.
#[derive(Clone, Debug)]
pub struct EndpointText {
    /// `engine` or `service`.
    pub kind: &'static str,
    /// HTTP address of the endpoint.
    pub address: SocketAddr,
    /// Models or services that it serves.
    pub targets: Vec<String>,
    /// Attempts that run at once.
    pub capacity: usize,
}

/// Writes the settings of an entry.
pub fn write_entry(cfg: &DeploymentCfg, node: &Node, platform: &Platform) -> io::Result<()> {
    let mut ini = common(cfg, node, platform, cfg.entry_threads);
    if cfg.data {
        let data = node.data_folder().display().to_string();
        ini.with_section(Some("node")).set("data", data);
    }
    let tokens = [
        ("operators", &cfg.tokens.operators),
        ("trainers", &cfg.tokens.trainers),
        ("callers", &cfg.tokens.callers),
    ];
    for (role, token) in tokens {
        if let Some(token) = token {
            ini.with_section(Some("access")).set(role, token);
        }
    }
    write(&ini, node)
}

/// Writes the settings of an agent.
pub fn write_agent(
    cfg: &DeploymentCfg,
    node: &Node,
    platform: &Platform,
    endpoint: &EndpointText,
) -> io::Result<()> {
    let mut ini = common(cfg, node, platform, 1);
    ini.with_section(Some("endpoint"))
        .set("kind", endpoint.kind)
        .set("url", format!("http://{}", endpoint.address))
        .set("targets", endpoint.targets.join(", "))
        .set("capacity", endpoint.capacity.to_string());
    write(&ini, node)
}

fn common(cfg: &DeploymentCfg, node: &Node, platform: &Platform, threads: usize) -> Ini {
    let mut ini = Ini::new();
    ini.with_section(Some("node"))
        .set("name", &node.name)
        .set("failure-domain", &node.domain)
        .set("region", &cfg.region)
        .set("http", node.http.to_string())
        .set("link", format!("tcp://{}", node.link))
        .set("link-keys", LINK_KEYS)
        .set("traffic-threads", threads.to_string());
    ini.with_section(Some("platform"))
        .set("store", format!("http://{}", platform.store.address()))
        .set("list", format!("http://{}", platform.list.address()));
    ini.with_section(Some("log")).set("level", &cfg.log_level);
    ini.with_section(Some("bench"))
        .set("policy", cfg.policy.to_string());
    ini
}

fn write(ini: &Ini, node: &Node) -> io::Result<()> {
    let option = WriteOption {
        escape_policy: ini::EscapePolicy::Nothing,
        ..WriteOption::default()
    };
    ini.write_to_file_opt(&node.settings, option)
}
