//! The current leader in the platform's store.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Name of the [`LeaderObject`], of the kind of objects about dispatchers.
pub const LEADER_NAME: &str = "leader";

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
