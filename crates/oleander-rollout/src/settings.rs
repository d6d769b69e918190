//! Settings of a process.

use oleander_base::settings::{Settings, SettingsFaults};
use oleanderlock::prelude::*;
use std::net::SocketAddr;
use std::path::Path;

/// Settings of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// Name of the node.
    pub node: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Address for callers; entries only.
    pub calls: Option<SocketAddr>,
    /// Address at which the balancer asks for readiness; entries only.
    pub ready: Option<SocketAddr>,
    /// Address for other processes of the system.
    pub peers: SocketAddr,
    /// Address under which those find it; another one than `peers` behind a relay.
    pub told: SocketAddr,
    /// Address of the metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Greatest value that the store takes, in bytes.
    pub value_bytes: usize,
    /// Address of the engine beside the process; agents only.
    pub engine: Option<SocketAddr>,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Millis,
    /// Time after which another process must see an acknowledged change.
    pub settle: Millis,
    /// Time for which results stay readable after the submission of their job.
    pub keep_results: Millis,
}

/// Greatest value of the store when the settings name none, in bytes.
const VALUE_BYTES_DEFAULT: usize = 1 << 20;
/// Time from SIGTERM to SIGKILL when the settings name none.
const GRACE_DEFAULT: Millis = Millis::from_secs(8);
/// Time to settle when the settings name none.
const SETTLE_DEFAULT: Millis = Millis::from_secs(1);
/// Time for which results stay readable when the settings name none.
const KEEP_RESULTS_DEFAULT: Millis = Millis::from_secs(120);

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// All faults at once.
    pub fn open(file: &Path) -> Result<Self, SettingsFaults> {
        Self::read(Settings::open(file)?)
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// All faults at once.
    pub fn read(mut settings: Settings) -> Result<Self, SettingsFaults> {
        let peers = addr(&mut settings, "listen", "peers");
        let cfg = Self {
            node: settings.required("node", "name"),
            domain: settings.required("node", "domain"),
            calls: optional_addr(&mut settings, "listen", "calls"),
            ready: optional_addr(&mut settings, "listen", "ready"),
            peers,
            told: optional_addr(&mut settings, "listen", "told").unwrap_or(peers),
            metrics: addr(&mut settings, "listen", "metrics"),
            store: addr(&mut settings, "store", "addr"),
            value_bytes: settings.parsed(
                "store",
                "value_bytes",
                VALUE_BYTES_DEFAULT,
                "a number of bytes",
            ),
            engine: optional_addr(&mut settings, "engine", "addr"),
            grace: settings.length("bounds", "grace", GRACE_DEFAULT),
            settle: settings.length("bounds", "settle", SETTLE_DEFAULT),
            keep_results: settings.length("bounds", "keep_results", KEEP_RESULTS_DEFAULT),
        };
        settings.finish()?;
        Ok(cfg)
    }
}

/// Stands for an address that can't be read; its fault is noted.
const NO_ADDR: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

fn addr(settings: &mut Settings, section: &str, key: &str) -> SocketAddr {
    if settings.required(section, key).is_empty() {
        return NO_ADDR;
    }
    settings.parsed(section, key, NO_ADDR, "IP:PORT")
}

fn optional_addr(settings: &mut Settings, section: &str, key: &str) -> Option<SocketAddr> {
    let text = settings.text(section, key)?;
    if text.is_empty() {
        return None;
    }
    Some(settings.parsed(section, key, NO_ADDR, "IP:PORT"))
}
