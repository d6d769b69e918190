//! A call that has not run.

use super::not_run_reason::NotRunReason;
use crate::prelude::*;

/// A call that has not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun {
    /// Time after which the caller may retry.
    pub retry_after: Millis,
    /// Why the call has not run.
    pub reason: NotRunReason,
    /// Whether an endpoint has refused the call as full.
    pub full: bool,
}
