//! What the configuration says of a batch job's route.

use crate::prelude::*;

/// What the configuration says of a batch job's route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobPolicy {
    /// Failures after which an item is given up.
    pub attempts: u32,
    /// Time after the submission within which results are due.
    pub due_after: Millis,
    /// Time after the submission after which items may be given up.
    pub keep: Millis,
    /// Whether one weight version must have made the whole of a sample.
    pub single_version: bool,
}
