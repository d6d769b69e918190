//! What an agent says that does not reach the leader.

use serde::{Deserialize, Serialize};

/// What an agent that does not reach the leader says when it asks the other dispatchers for one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderUnreached {
    /// Name of the agent's node.
    pub agent: String,
    /// Epoch of the leader that it does not reach.
    pub epoch: u64,
}
