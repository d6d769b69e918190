//! Objects in the platform's store about dispatchers and their leader.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Kind of the objects about dispatchers.
pub const DISPATCHER_KIND: &str = "dispatchers";
/// Name of the [`LeaderObject`].
pub const LEADER_NAME: &str = "leader";
/// Prefix of the names of [`DispatcherObject`]s; the name of the node follows.
pub const NODE_PREFIX: &str = "node-";

/// Kind of the leader's pulse; a kind of its own, so that no watch reports each pulse.
pub const PULSE_KIND: &str = "dispatcher-pulses";
/// Name of the [`Pulse`].
pub const PULSE_NAME: &str = "leader";

/// Heartbeat of the leader, which overwrites it in the store every 0.8 s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulse {
    /// Epoch that the leader holds.
    pub epoch: u64,
    /// Rises by 1 with each pulse, from a random start at each change of the leader.
    pub number: u64,
    /// Number of the first chunk of results that the next leader must read before it leads; 0 for
    /// all.
    #[serde(default)]
    pub needed_from: u64,
}

/// The current leader; replaced only if its revision is unchanged, so each epoch has one winner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderObject {
    /// Rises with each change of the leader.
    pub epoch: u64,
    /// Name of the leader's node; empty after the leader handed over.
    pub node: String,
    /// Address of the leader for other processes of the system.
    pub addr: Option<SocketAddr>,
}

/// Address of a dispatcher, which registers it at its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatcherObject {
    /// Address for other processes of the system.
    pub addr: SocketAddr,
}
