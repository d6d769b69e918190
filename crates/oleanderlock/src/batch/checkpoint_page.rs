//! Stored page of checkpoints.

use super::run_part::RunPart;
use super::runner::Runner;
use serde::{Deserialize, Serialize};

/// Parts of runs that are stored in one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointPage {
    /// Epoch of the leader that wrote it.
    pub epoch: u64,
    /// Number of the page within the epoch, from 0.
    pub number: u64,
    /// The parts, each with the process that ran it.
    pub parts: Vec<(Runner, RunPart)>,
}
