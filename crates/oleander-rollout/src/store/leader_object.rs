//! Who dispatches: an object in the platform's store.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Kind of the objects about dispatchers.
pub const DISPATCHER_KIND: &str = "dispatchers";
/// Name of the object that says who leads.
pub const LEADER_NAME: &str = "leader";
/// Prefix of the names of objects that say where a dispatcher is.
pub const NODE_PREFIX: &str = "node-";

/// Kind of the leader's pulse; no process watches it.
pub const PULSE_KIND: &str = "dispatcher-pulses";
/// Name of the leader's pulse.
pub const PULSE_NAME: &str = "leader";

/// A sign of life of the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    /// Epoch of the leader.
    pub epoch: u64,
    /// Rises with each pulse; unlike that of any other start of the leader.
    pub number: u64,
    /// Number of the first chunk of results that the next leader must read before it leads; 0
    /// stands for all.
    #[serde(default)]
    pub needed_from: u64,
}

/// Who leads.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderObject {
    /// Rises with each change of the leader.
    pub epoch: u64,
    /// Name of the leader's node; empty when the last one has left.
    pub node: String,
    /// Address of the leader for its peers.
    pub addr: Option<SocketAddr>,
}

/// Where a dispatcher is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatcherObject {
    /// Address for its peers.
    pub addr: SocketAddr,
}
