//! The process that runs an item.

use serde::{Deserialize, Serialize};

/// The process that runs an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Name of the agent.
    pub agent: String,
    /// Start of the agent's process: a number that no other start has.
    pub process: u64,
}
