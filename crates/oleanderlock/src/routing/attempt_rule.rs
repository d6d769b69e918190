//! What follows an attempt at an endpoint that brought no answer.

use super::route_kind::RouteKind;
use crate::prelude::*;

/// Longest time that a refusal asks a caller to stay away.
const RETRY_AFTER_MAX: Millis = Millis(1000);
/// Shortest time that a refusal asks a caller to stay away.
const RETRY_AFTER_MIN: Millis = Millis(50);

/// How an attempt at an endpoint ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing was sent, or the endpoint says that it did not run the call.
    NotRun,
    /// The endpoint may have run the call: its answer was lost, broken or not its own.
    Unknown,
}

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

/// The state of a call when an attempt has failed.
#[derive(Clone, Copy, Debug)]
pub struct CallState {
    /// What may be repeated.
    pub kind: RouteKind,
    /// Endpoints that the call was sent to.
    pub sent: u32,
    /// Most endpoints that it may be sent to.
    pub attempts: u32,
    /// Whether any attempt may have run.
    pub may_have_run: bool,
    /// Time left until the caller or the route gives up.
    pub left: Millis,
    /// Whether an endpoint that was not tried is known.
    pub has_other: bool,
}

/// Decides what follows a failed attempt.
pub fn after_failure(call: CallState, failure: AttemptFailure) -> AfterFailure {
    let unknown = call.may_have_run || failure == AttemptFailure::Unknown;
    let may_repeat = !unknown || call.kind.is_idempotent();
    if may_repeat && call.has_other && call.sent < call.attempts && call.left > Millis::ZERO {
        return AfterFailure::Again;
    }
    if unknown {
        return AfterFailure::FailUnknown;
    }
    AfterFailure::RefuseNotRun(retry_after(call.left))
}

/// Returns when a refused caller should come back: a quarter of the time it has left, within
/// bounds, so that one more attempt still fits.
pub fn retry_after(left: Millis) -> Millis {
    let quarter = Millis(left.0 / 4);
    quarter.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
