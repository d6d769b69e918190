//! Load of an engine.

use serde::Deserialize;

/// Load of an engine as it reports it, which may lag behind.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests in the queue.
    pub queued: u32,
    /// Maximum number of requests in a batch.
    pub capacity: u32,
}
