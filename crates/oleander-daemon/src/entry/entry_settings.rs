//! Settings of an entry.

use crate::process::node_settings::{NodeConfig, read_node};
use crate::settings::Settings;
use crate::settings_errors::SettingsErrors;
use oleanderlock::policy::Policy;
use oleanderlock::prelude::*;
use std::path::PathBuf;

/// The settings of an entry, checked and with defaults.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// The settings that every daemon has.
    pub node: NodeConfig,
    /// Tokens of operators; if empty, no token is needed.
    pub operator_tokens: Vec<String>,
    /// Tokens of trainers; if empty, no token is needed.
    pub trainer_tokens: Vec<String>,
    /// Tokens of callers; if empty, no token is needed.
    pub caller_tokens: Vec<String>,
    /// Folder for snapshots; `None` on instances without a disk.
    pub data: Option<PathBuf>,
    /// Longest graceful shutdown while no contract sets one.
    pub drain: Millis,
    /// Shortest graceful shutdown, so that the load balancer notices that the entry is not ready
    /// before connections are refused.
    pub lame_duck: Millis,
    /// The product's policy, or a simpler one as a baseline for benchmarks.
    pub policy: Policy,
}

/// Longest graceful shutdown when neither settings nor contract set one.
const DRAIN_DEFAULT: Millis = Millis::from_secs(30);
/// Shortest graceful shutdown when the settings set none.
const LAME_DUCK_DEFAULT: Millis = Millis::from_secs(1);

impl EntryConfig {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// All errors of the settings at once, not only the first.
    pub fn read(mut settings: Settings) -> Result<Self, SettingsErrors> {
        let config = Self {
            node: read_node(&mut settings),
            operator_tokens: settings.list("access", "operators"),
            trainer_tokens: settings.list("access", "trainers"),
            caller_tokens: settings.list("access", "callers"),
            data: settings.text("node", "data").map(PathBuf::from),
            drain: settings.duration("node", "drain", DRAIN_DEFAULT),
            lame_duck: settings.duration("node", "lame-duck", LAME_DUCK_DEFAULT),
            policy: settings.parsed(
                "bench",
                "policy",
                Policy::Product,
                "product, random, round-robin, least-outstanding or naive",
            ),
        };
        settings.finish()?;
        Ok(config)
    }
}
