//! Load of one endpoint.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Load of one endpoint as its agent sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Load {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Slots.
    pub capacity: u32,
    /// Expected wait of new work.
    pub wait: Millis,
}
