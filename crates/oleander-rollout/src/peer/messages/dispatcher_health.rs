//! The response to a probe of a dispatcher.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Health of a dispatcher, as standbys, entries and agents probe it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatcherHealth {
    /// Whether it leads, or has won an epoch and is recovering.
    pub leads: bool,
    /// Epoch that it holds, or the newest one that it knows; 0 for none.
    pub epoch: u64,
    /// Time since its last successful call to the store, in milliseconds.
    pub store_age_ms: u64,
    /// Address of the leader, if it knows one.
    pub leader: Option<SocketAddr>,
    /// Name of its node, as the address may be another one's by now; empty in answers of earlier builds.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub node: String,
}
