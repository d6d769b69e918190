//! An order to an agent to load weights.

use serde::{Deserialize, Serialize};

/// Weights that an agent is to make its engine load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadWork {
    /// Model to load.
    pub model: String,
    /// Version to load.
    pub version: u64,
}
