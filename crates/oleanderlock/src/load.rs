//! Load of one endpoint.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Load of one endpoint, measured by its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Load {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Number of slots.
    pub capacity: u32,
    /// Expected time that new work would wait for a slot.
    pub wait: Millis,
}
