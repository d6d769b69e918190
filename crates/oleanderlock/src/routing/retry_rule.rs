//! What follows an attempt at an endpoint that brought no answer.

use super::after_failure::AfterFailure;
use super::attempt_failure::AttemptFailure;
use super::call_state::CallState;
use crate::prelude::*;

/// Longest time that a refusal asks a caller to stay away.
const RETRY_AFTER_MAX: Millis = Millis(1000);
/// Shortest time that a refusal asks a caller to stay away.
const RETRY_AFTER_MIN: Millis = Millis(50);

/// Decides what follows a failed attempt.
pub fn after_failure(call: CallState, failure: AttemptFailure) -> AfterFailure {
    let unknown = call.may_have_run || failure == AttemptFailure::Unknown;
    let may_repeat = !unknown || call.kind.is_idempotent();
    if may_repeat
        && call.has_candidate
        && call.attempts_made < call.attempts_max
        && call.time_left > Millis::ZERO
    {
        return AfterFailure::Again;
    }
    if unknown {
        return AfterFailure::FailUnknown;
    }
    AfterFailure::RefuseNotRun(retry_after(call.time_left))
}

/// Returns when a refused caller should come back: a quarter of the time it has left, within
/// bounds, so that one more attempt still fits.
pub fn retry_after(left: Millis) -> Millis {
    let quarter = Millis(left.0 / 4);
    quarter.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
