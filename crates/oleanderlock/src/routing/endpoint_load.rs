//! Load and health of an endpoint, as observed by the calls of this process.

use crate::prelude::*;

/// Time for which an endpoint is avoided after its first failure; doubles with each further one.
const AVOID_AFTER_FAILURE: Millis = Millis(1000);
/// Time for which an endpoint is avoided after it refused a call because it is full.
const AVOID_AFTER_FULL: Millis = Millis(100);
/// Longest time for which consecutive failures make an endpoint avoided.
const AVOID_MAX: Millis = Millis(8000);
/// Weight of the newest answer in the moving average of answer times, in eighths.
const NEW_ANSWER_WEIGHT_EIGHTHS: u64 = 2;

/// Load and health of an endpoint, as observed by the calls of this process.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointLoad {
    /// Calls of this process that wait for an answer.
    pub in_flight: usize,
    /// Moving average of the answer time, in microseconds; 0 before the first answer.
    pub mean_answer_us: u64,
    /// Consecutive failures since the last answer.
    pub failures: u32,
    /// Time until which other endpoints are preferred.
    pub avoid_until: Millis,
}

impl EndpointLoad {
    /// Records an answer that took `took`; ends the avoidance of the endpoint.
    pub fn record_answer(&mut self, took: Millis) {
        let us = took.0.saturating_mul(1000);
        self.failures = 0;
        self.avoid_until = Millis::ZERO;
        self.mean_answer_us = if self.mean_answer_us == 0 {
            us
        } else {
            (self.mean_answer_us * (8 - NEW_ANSWER_WEIGHT_EIGHTHS) + us * NEW_ANSWER_WEIGHT_EIGHTHS)
                / 8
        };
    }

    /// Records a refusal because the endpoint is full.
    pub fn record_full(&mut self, now: Millis) {
        self.avoid_until = self.avoid_until.max(now.plus(AVOID_AFTER_FULL));
    }

    /// Records a failure; the time of avoidance doubles with each consecutive one, up to a limit.
    pub fn record_failure(&mut self, now: Millis) {
        let avoid_ms = AVOID_AFTER_FAILURE.0 << self.failures.min(4);
        self.failures += 1;
        let until = now.plus(Millis(avoid_ms.min(AVOID_MAX.0)));
        self.avoid_until = self.avoid_until.max(until);
    }
}
