//! What one process may send to an endpoint with a rate limit.

use crate::prelude::*;

/// Microseconds per second.
const US_PER_S: f64 = 1_000_000.0;
/// Longest interval between two requests, in microseconds; stands for a rate of zero.
const INTERVAL_MAX_US: u64 = 3_600_000_000;

/// What one process may send to an endpoint with a rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerGrant {
    /// Requests per second.
    pub per_second: f64,
    /// Requests that may be sent at once after a pause; at least one.
    pub burst: u64,
}

impl CallerGrant {
    /// Returns the mean interval between two requests, in microseconds.
    pub fn interval_us(&self) -> u64 {
        let interval = (US_PER_S / self.per_second).ceil();
        // A rate of zero gives infinity, which saturates.
        (interval as u64).min(INTERVAL_MAX_US)
    }

    /// Returns the number of requests that this grant keeps running if each takes `duration`.
    pub fn concurrency(&self, duration: Millis) -> usize {
        let running = self.per_second * duration.0 as f64 / 1000.0;
        running.ceil() as usize
    }
}
