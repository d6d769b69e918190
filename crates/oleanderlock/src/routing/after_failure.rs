//! Decision after a failed attempt.

use crate::prelude::*;

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// Start another attempt.
    Again,
    /// Refuse the call as not run, with the time after which the caller may retry.
    RefuseNotRun(Millis),
    /// Fail the call with an unknown outcome.
    FailUnknown,
}
