//! One stored page of checkpoints.

use super::run_part::RunPart;
use super::runner::Runner;
use serde::{Deserialize, Serialize};

/// Parts of runs that are written together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointPage {
    /// Epoch of the leader that wrote it.
    pub epoch: u64,
    /// Number of the page in that epoch.
    pub number: u64,
    /// The parts, with who told them.
    pub parts: Vec<(Runner, RunPart)>,
}
