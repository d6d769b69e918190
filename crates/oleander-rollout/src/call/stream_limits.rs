//! Times without an event after which a stream is stalled.

use crate::prelude::*;

/// A stream without an event for this many latency objectives is stalled; clients leave after four.
const STALL_OBJECTIVES: u64 = 5;
/// Shortest time without an event after which a stream is stalled.
const STALL_MIN: Millis = Millis(10_000);
/// A stream that may be resumed goes on elsewhere after this many latency objectives without an
/// event, before its client leaves.
const RESUME_OBJECTIVES: u64 = 3;
/// Shortest time without an event after which a stream goes on elsewhere; clients bear two seconds.
const RESUME_MIN: Millis = Millis(1500);

/// Times without an event after which a stream is stalled.
#[derive(Clone, Copy, Debug)]
pub struct StreamLimits {
    /// After which it goes on at another endpoint, if it may.
    pub resume_after: Millis,
    /// After which it is broken off.
    pub stall_after: Millis,
}

impl StreamLimits {
    /// Returns the limits of streams with this latency objective.
    pub fn of(objective: Millis) -> Self {
        let objectives = |count: u64| Millis(objective.0.saturating_mul(count));
        Self {
            resume_after: objectives(RESUME_OBJECTIVES).max(RESUME_MIN),
            stall_after: objectives(STALL_OBJECTIVES).max(STALL_MIN),
        }
    }
}
