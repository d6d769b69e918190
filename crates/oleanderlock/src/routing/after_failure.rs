//! What to do after a failed attempt.

use crate::prelude::*;

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// Send the call to another endpoint.
    Again,
    /// Tell the caller that the call has not run, and when to come back.
    RefuseNotRun(Millis),
    /// Tell the caller that the outcome is unknown.
    FailUnknown,
}
