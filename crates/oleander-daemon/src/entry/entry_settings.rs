//! Settings of the entry daemon.

use crate::process::node_settings::{NodeConfig, read_node};
use crate::settings::Settings;
use crate::settings_errors::SettingsErrors;
use oleanderlock::policy::Policy;
use oleanderlock::prelude::*;
use std::path::PathBuf;

/// Everything that an entry needs to run.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// The settings that every daemon has.
    pub node: NodeConfig,
    /// Tokens of operators; empty lets everybody in.
    pub operator_tokens: Vec<String>,
    /// Tokens of trainers; empty lets everybody in.
    pub trainer_tokens: Vec<String>,
    /// Tokens of callers; empty lets everybody in.
    pub caller_tokens: Vec<String>,
    /// Folder for snapshots; `None` on instances without a disk.
    pub data: Option<PathBuf>,
    /// Longest graceful shutdown while no contract names one.
    pub drain: Millis,
    /// Time for which a stopping entry still answers, so that the balancer notices that it is not
    /// ready before connections are refused.
    pub lame_duck: Millis,
    /// The product's policy, or a baseline for the bench.
    pub policy: Policy,
}

/// Longest graceful shutdown when neither settings nor contract name one.
const DRAIN_DEFAULT: Millis = Millis::from_secs(30);
/// Time for which a stopping entry still answers when the settings name none.
const LAME_DUCK_DEFAULT: Millis = Millis::from_secs(1);

impl EntryConfig {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// All faults at once.
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
