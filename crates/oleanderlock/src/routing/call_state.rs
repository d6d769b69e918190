//! State of a call after a failed attempt.

use crate::prelude::*;

/// State of a call after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct CallState {
    /// Whether the call may be repeated although it may have run.
    pub repeatable: bool,
    /// Number of attempts so far.
    pub attempts_made: u32,
    /// Maximum number of attempts.
    pub attempts_max: u32,
    /// Whether an endpoint may have run the call in an earlier attempt.
    pub may_have_run: bool,
    /// Time left until the deadline of the caller or the route.
    pub time_left: Millis,
    /// Whether there is an endpoint for another attempt.
    pub has_candidate: bool,
}
