//! Rule for retries after an attempt without an answer.

use super::after_failure::AfterFailure;
use super::attempt_failure::AttemptFailure;
use super::call_state::CallState;
use crate::prelude::*;

/// Longest retry delay that a refusal asks of a caller.
const RETRY_AFTER_MAX: Millis = Millis(1000);
/// Shortest retry delay that a refusal asks of a caller.
const RETRY_AFTER_MIN: Millis = Millis(50);

/// Decides whether a call is retried after a failed attempt, and otherwise how it fails.
///
/// A call that may have run is repeated only if its route allows that, and is never reported as not
/// run.
pub fn after_failure(call: CallState, failure: AttemptFailure) -> AfterFailure {
    let unknown = call.may_have_run || failure == AttemptFailure::Unknown;
    let may_repeat = !unknown || call.repeatable;
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

/// Returns the delay after which a refused caller should retry: a quarter of the time it has left,
/// within limits, so that one more attempt still fits.
pub fn retry_after(left: Millis) -> Millis {
    let quarter = Millis(left.0 / 4);
    quarter.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}
