//! Entry of the platform's endpoint list.

use super::endpoint_state::EndpointState;
use crate::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One endpoint in the platform's endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Instance id, unique to this incarnation of the endpoint.
    pub instance: String,
    /// Unix time of its start in milliseconds, if the list names it.
    pub started_unix_ms: Option<u64>,
    /// Service that it serves.
    pub service: String,
    /// Version of its software, not of its weights, if the list names it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<String>,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Calls that it runs concurrently.
    pub slots: usize,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Remaining warm-up time after its start, during which it is slow.
    pub warm_up: Millis,
    /// Weight version of each model that it holds, by model.
    pub weights: IndexMap<String, u64>,
}
