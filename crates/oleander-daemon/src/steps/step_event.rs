//! Events of a running step.

use crate::prelude::*;
use crate::steps::pull_call::PullCall;
use oleanderlock::whole_answer::WholeAnswer;

/// An event for the task of a running step.
pub(crate) enum StepEvent {
    /// A trainer pulls.
    Pull(PullCall),
    /// An attempt ended.
    AttemptEnded {
        /// The slot of the sample.
        slot: SlotKey,
        /// Number of the attempt within its slot.
        attempt: u32,
        /// The complete sample, or the time to wait before the next attempt.
        result: Result<WholeAnswer, Millis>,
    },
}
