//! A prompt group of a step.

use serde::{Deserialize, Serialize};

/// A prompt group as the trainer requests it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// The prompt that all samples of the group share.
    pub prompt: String,
    /// Number of tokens of each sample.
    pub lengths: Vec<u64>,
}
