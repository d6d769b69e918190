//! A time in which an endpoint named a rate limit.

use std::time::Instant;

/// A time in which an endpoint named a rate limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitPeriod {
    /// Requests a second.
    pub rate: f64,
    pub from: Instant,
    pub until: Instant,
}
