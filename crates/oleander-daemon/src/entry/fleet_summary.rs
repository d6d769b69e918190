//! The body of `GET /v1/fleet`.

use crate::entry::agent_view::AgentView;
use crate::entry::config_summary::ConfigSummary;
use crate::entry::entry_view::EntryView;
use serde::{Deserialize, Serialize};

/// The fleet as one entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetSummary {
    /// Name of the entry.
    pub entry: String,
    /// Digest of the configuration in force at the entry.
    pub config_digest: String,
    /// Whether all agents in use have reported, or the wait for them is over.
    pub settled: bool,
    /// Configuration objects in force.
    pub config: Vec<ConfigSummary>,
    /// The agents that the entry uses.
    pub agents: Vec<AgentView>,
    /// The other entries of the platform's list.
    pub entries: Vec<EntryView>,
}
