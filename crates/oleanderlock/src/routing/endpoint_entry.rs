//! What the platform's list says of one endpoint.

use super::endpoint_state::EndpointState;
use crate::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What the platform's list says of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Identity of the running incarnation.
    pub instance: String,
    /// Unix time of its start in milliseconds, when it says so.
    pub started_unix_ms: Option<u64>,
    /// Service that it serves.
    pub service: String,
    /// Address that takes its calls.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Calls that it works on at once.
    pub slots: usize,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// How much longer it stays slow after its start.
    pub warm_up: Millis,
    /// Weight version of each model that it holds.
    pub weights: IndexMap<String, u64>,
}
