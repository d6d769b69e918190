//! The failed attempt before a retry.

use crate::prelude::*;

/// A failed attempt of a request that may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreviousFailure {
    /// The error of the attempt.
    pub error: ErrorKind,
    /// Attempts so far.
    pub attempts: u32,
    /// Time after which the agent expects to accept the work; zero if not given.
    pub retry_after: Millis,
}
