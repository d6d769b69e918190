//! Settings of the agent daemon.

use crate::agent::endpoint_kind::EndpointKind;
use crate::process::node_settings::{NodeConfig, read_node};
use crate::settings::Settings;
use crate::settings_errors::SettingsErrors;
use oleanderlock::policy::Policy;
use oleanderlock::prelude::*;

/// Configuration of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The settings that all daemons have.
    pub node: NodeConfig,
    /// Kind of endpoint that the agent serves.
    pub kind: EndpointKind,
    /// Base URL of the endpoint.
    pub endpoint: String,
    /// Models or services that the endpoint serves.
    pub targets: Vec<String>,
    /// Maximum number of attempts that run at the same time.
    pub capacity: usize,
    /// Maximum time of a graceful shutdown while no contract sets one.
    pub drain: Millis,
    /// Admission policy; all but the first are baselines for benchmarks.
    pub policy: Policy,
}

/// Default of `capacity`.
const CAPACITY_DEFAULT: usize = 16;
/// Default of `drain`.
const DRAIN_DEFAULT: Millis = Millis::from_secs(30);

impl AgentConfig {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// All errors of the settings.
    pub fn read(mut settings: Settings) -> Result<Self, SettingsErrors> {
        let node = read_node(&mut settings);
        let config = Self {
            node,
            kind: settings.parsed(
                "endpoint",
                "kind",
                EndpointKind::Engine,
                "engine or service",
            ),
            endpoint: settings.required("endpoint", "url"),
            targets: settings.list("endpoint", "targets"),
            capacity: settings.parsed(
                "endpoint",
                "capacity",
                CAPACITY_DEFAULT,
                "a whole number above 0",
            ),
            drain: settings.duration("endpoint", "drain", DRAIN_DEFAULT),
            policy: settings.parsed(
                "bench",
                "policy",
                Policy::Product,
                "product, random, round-robin, least-outstanding or naive",
            ),
        };
        settings.check_url("endpoint", "url", &config.endpoint);
        if config.targets.is_empty() {
            settings.record_error(
                "endpoint",
                "targets",
                "must name at least one model or service",
            );
        }
        if config.capacity == 0 {
            settings.record_error("endpoint", "capacity", "must be at least 1");
        }
        settings.finish()?;
        Ok(config)
    }
}
