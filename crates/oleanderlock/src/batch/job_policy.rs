//! Limits and priorities of a batch job.

use crate::prelude::*;

/// Limits and rules for a batch job, taken from the configuration of its route and workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobPolicy {
    /// Number of failed runs after which an item is given up.
    pub attempts: u32,
    /// Time from the submission until the results are due.
    pub due_after: Millis,
    /// Time from the submission until unfinished items may be given up.
    pub keep: Millis,
    /// Whether all tokens of a sample must come from a single weight version.
    pub single_version: bool,
    /// Priority among jobs that are due at the same time; 0 is the most urgent.
    pub rank: u32,
    /// Priority that engines are told; `None` if the job's workspace has none.
    pub workspace_rank: Option<u32>,
}
