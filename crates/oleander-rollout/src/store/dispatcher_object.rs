//! Address of a dispatcher in the platform's store.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Kind of the objects about dispatchers and their leader.
pub const DISPATCHER_KIND: &str = "dispatchers";
/// Prefix of the names of [`DispatcherObject`]s; the name of the node follows.
pub const NODE_PREFIX: &str = "node-";

/// Address of a dispatcher, which registers it at its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatcherObject {
    /// Address for other processes of the system.
    pub addr: SocketAddr,
}
