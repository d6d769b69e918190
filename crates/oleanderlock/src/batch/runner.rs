//! The agent process that runs an item.

use serde::{Deserialize, Serialize};

/// The agent process that runs an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Name of the agent.
    pub agent: String,
    /// Number that is unique to this start of the agent's process.
    pub process: u64,
}
