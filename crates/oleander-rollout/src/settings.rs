//! Settings of a process, read from its settings file.

use crate::call::caller_identity::CallerIdentity;
use crate::call::caller_role::CallerRole;
use crate::duty_settings::DutySettings;
use crate::feature_settings::FeatureSettings;
use crate::key_settings::KeySettings;
use oleander_base::settings::Settings;
use oleander_base::settings_errors::SettingsErrors;
use oleanderlock::prelude::*;
use std::net::SocketAddr;
use std::path::Path;

/// Settings of a process. Its debug format is logged when the settings change.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Name of the node; names the process in log lines and messages.
    pub node: String,
    /// Failure domain of the node.
    pub domain: String,
    /// Address that serves callers; required for entries, not used by others.
    pub calls: Option<SocketAddr>,
    /// Address at which the load balancer checks readiness; required for entries, not used by
    /// others.
    pub ready: Option<SocketAddr>,
    /// Address on which this process listens for the other processes of the system.
    pub peers: SocketAddr,
    /// Address at which other processes connect to `peers`; differs from `peers` behind a relay.
    pub told: SocketAddr,
    /// Address that serves metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Largest value that the store accepts, in bytes.
    pub value_bytes: usize,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Address of the agent's engine; required for agents, not used by others.
    pub engine: Option<SocketAddr>,
    /// Time between SIGTERM and SIGKILL, within which the process stops.
    pub grace: Millis,
    /// Time within which an endpoint that is leaving must get no more requests.
    pub leave_within: Millis,
    /// Time within which an acknowledged change is visible to other processes.
    pub settle: Millis,
    /// Time for which results stay readable after the submission of their job.
    pub keep_results: Millis,
    /// Time after the acknowledgement of a job's end within which no item of it may reach an endpoint
    /// any more.
    pub end_within: Millis,
    /// Calls to the platform that one process at a time may make; `None` if there are none.
    pub duties: Option<DutySettings>,
    /// Check of API keys.
    pub keys: KeySettings,
    /// Features that the deployment asks for.
    pub features: FeatureSettings,
}

/// Default of [`Config::value_bytes`].
const VALUE_BYTES_DEFAULT: usize = 1 << 20;
/// Default of [`Config::memory_bytes`], in megabytes.
const MEMORY_MB_DEFAULT: usize = 256;
/// Default of [`Config::grace`].
const GRACE_DEFAULT: Millis = Millis::from_secs(8);
/// Default of [`Config::leave_within`].
const LEAVE_WITHIN_DEFAULT: Millis = Millis::from_secs(2);
/// Default of [`Config::settle`].
const SETTLE_DEFAULT: Millis = Millis::from_secs(1);
/// Default of [`Config::keep_results`].
const KEEP_RESULTS_DEFAULT: Millis = Millis::from_secs(120);
/// Default of [`Config::end_within`].
const END_WITHIN_DEFAULT: Millis = Millis::from_secs(3);

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// All errors that were found, not only the first.
    pub fn open(file: &Path) -> Result<Self, SettingsErrors> {
        Self::read(Settings::open(file)?)
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// All errors that were found, not only the first.
    pub fn read(mut settings: Settings) -> Result<Self, SettingsErrors> {
        let peers = addr(&mut settings, "listen", "peers");
        let platform_api = optional_addr(&mut settings, "platform_api", "addr");
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
            memory_bytes: settings.parsed(
                "node",
                "memory_mb",
                MEMORY_MB_DEFAULT,
                "a number of megabytes",
            ) << 20,
            engine: optional_addr(&mut settings, "engine", "addr"),
            grace: settings.duration("bounds", "grace", GRACE_DEFAULT),
            leave_within: settings.duration("bounds", "leave_within", LEAVE_WITHIN_DEFAULT),
            settle: settings.duration("bounds", "settle", SETTLE_DEFAULT),
            keep_results: settings.duration("bounds", "keep_results", KEEP_RESULTS_DEFAULT),
            end_within: settings.duration("bounds", "end_within", END_WITHIN_DEFAULT),
            duties: DutySettings::read(&mut settings, platform_api),
            keys: KeySettings::read(&mut settings),
            features: FeatureSettings::read(&mut settings),
        };
        settings.finish()?;
        Ok(cfg)
    }

    /// Returns the identity of this process towards endpoints.
    pub fn caller(&self, role: CallerRole) -> CallerIdentity {
        CallerIdentity {
            role,
            node: self.node.clone(),
            domain: self.domain.clone(),
        }
    }
}

/// Placeholder for an address that can't be parsed; [`Settings::finish`] returns the error.
pub(crate) const PLACEHOLDER_ADDR: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

fn addr(settings: &mut Settings, section: &str, key: &str) -> SocketAddr {
    if settings.required(section, key).is_empty() {
        return PLACEHOLDER_ADDR;
    }
    settings.parsed(section, key, PLACEHOLDER_ADDR, "IP:PORT")
}

fn optional_addr(settings: &mut Settings, section: &str, key: &str) -> Option<SocketAddr> {
    let text = settings.text(section, key)?;
    if text.is_empty() {
        return None;
    }
    Some(settings.parsed(section, key, PLACEHOLDER_ADDR, "IP:PORT"))
}
