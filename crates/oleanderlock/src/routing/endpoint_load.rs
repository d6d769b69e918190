//! What one process knows of the load and health of an endpoint from its own calls.

use crate::prelude::*;

/// Time for which an endpoint is avoided after a failure that says nothing of its cause.
const AVOID_AFTER_FAILURE: Millis = Millis(1000);
/// Time for which an endpoint that reported itself full is avoided.
const AVOID_AFTER_FULL: Millis = Millis(100);
/// Longest time for which failures in a row make an endpoint avoided.
const AVOID_MAX: Millis = Millis(8000);
/// Weight of the newest answer in the mean time to an answer, in parts of 8.
const MEAN_NEW_EIGHTHS: u64 = 2;

/// Load and health of one endpoint, as seen by the calls of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointLoad {
    /// Calls that wait for an answer.
    pub in_flight: usize,
    /// Mean time to an answer, in microseconds; 0 before the first.
    pub mean_answer_us: u64,
    /// Failures since the last answer.
    pub failures: u32,
    /// Point until which the endpoint is avoided.
    pub avoid_until: Millis,
}

impl EndpointLoad {
    /// Notes an answer after `took`.
    pub fn record_answer(&mut self, took: Millis) {
        let us = took.0.saturating_mul(1000);
        self.failures = 0;
        self.avoid_until = Millis::ZERO;
        self.mean_answer_us = if self.mean_answer_us == 0 {
            us
        } else {
            (self.mean_answer_us * (8 - MEAN_NEW_EIGHTHS) + us * MEAN_NEW_EIGHTHS) / 8
        };
    }

    /// Notes a refusal that says the endpoint is full.
    pub fn record_full(&mut self, now: Millis) {
        self.avoid_until = self.avoid_until.max(now.plus(AVOID_AFTER_FULL));
    }

    /// Notes a failure; the pause doubles with each in a row.
    pub fn record_failure(&mut self, now: Millis) {
        let pause = AVOID_AFTER_FAILURE.0 << self.failures.min(4);
        self.failures += 1;
        let until = now.plus(Millis(pause.min(AVOID_MAX.0)));
        self.avoid_until = self.avoid_until.max(until);
    }
}
