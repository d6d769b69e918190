//! Report that an agent sends with each pull.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of an agent and its engine, sent with each pull.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Name of the agent.
    pub agent: String,
    /// Number that is unique to this start of the agent's process, so that a restart shows.
    pub process: u64,
    /// Incarnation of the engine; empty while there is none.
    pub instance: String,
    /// Service that the engine belongs to; `None` until it is known.
    pub service: Option<String>,
    /// Version of the engine's software; `None` if the endpoint list names none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<String>,
    /// Address of the engine.
    pub engine: Option<SocketAddr>,
    /// Requests that the engine runs concurrently; 0 while it takes no work.
    pub slots: usize,
    /// Whether the agent is stopping or its engine is leaving.
    pub leaving: bool,
    /// Weight version of each model on the engine, by model.
    pub weights: IndexMap<String, u64>,
    /// Model whose weights are being loaded.
    pub loading: Option<String>,
    /// Mean time between two events of a run, in microseconds; 0 if unknown.
    pub event_us: u64,
    /// Items that the agent has, as `JOB/ITEM`.
    pub items: Vec<String>,
    /// The subset of `items` that waits for a slot of the engine.
    pub waiting: Vec<String>,
    /// Version of the configuration that the agent has; 0 for none.
    pub config_version: u64,
    /// Digest of the endpoint list that the agent has; 0 for none.
    pub endpoints_digest: u64,
}
