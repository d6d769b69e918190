//! Settings of the agent daemon.

use crate::process::node_settings::{NodeConfig, read_node};
use crate::settings::Settings;
use crate::settings_errors::SettingsErrors;
use oleanderlock::policy::Policy;
use oleanderlock::prelude::*;
use strum::{Display, EnumString};

/// What stands behind an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Everything that an agent needs to run.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The settings that every daemon has.
    pub node: NodeConfig,
    /// What stands behind the agent.
    pub kind: EndpointKind,
    /// Base URL of the endpoint.
    pub endpoint: String,
    /// Models or services that the endpoint serves.
    pub targets: Vec<String>,
    /// Attempts that run at once.
    pub capacity: usize,
    /// Longest graceful shutdown while no contract names one.
    pub drain: Millis,
    /// The product's policy, or a baseline for the bench.
    pub policy: Policy,
}

/// Attempts that run at once when the settings name no number.
const CAPACITY_DEFAULT: usize = 16;
/// Longest graceful shutdown when neither settings nor contract name one.
const DRAIN_DEFAULT: Millis = Millis::from_secs(30);

impl AgentConfig {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// All faults at once.
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
