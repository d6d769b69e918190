//! What an agent reports with each call.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an agent says of itself and its engine with each call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Name of the agent.
    pub agent: String,
    /// Start of the agent's process: a number that no other start has.
    pub process: u64,
    /// Incarnation of the engine; empty while none is there.
    pub instance: String,
    /// Service that the engine belongs to, once known.
    pub service: Option<String>,
    /// Address of the engine.
    pub engine: Option<SocketAddr>,
    /// Requests that the engine runs at once; 0 when it takes no work now.
    pub slots: usize,
    /// Whether the agent is stopping, or its engine leaving.
    pub leaving: bool,
    /// Weight version of each model on the engine.
    pub weights: IndexMap<String, u64>,
    /// Model that is being loaded.
    pub loading: Option<String>,
    /// Mean time between two events of a run, in microseconds; 0 when not known.
    pub event_us: u64,
    /// Items that the agent has, as `JOB/ITEM`.
    pub items: Vec<String>,
    /// Those of them that wait for a slot of the engine.
    pub waiting: Vec<String>,
    /// Version of the configuration that the agent knows; 0 for none.
    pub config_version: u64,
    /// Digest of the endpoints that the agent knows; 0 for none.
    pub endpoints_digest: u64,
}
