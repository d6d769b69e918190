//! Limits of a batch job.

use crate::prelude::*;

/// Limits and rules for a batch job, taken from the configuration of its route.
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
}
