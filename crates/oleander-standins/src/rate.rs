//! A limit on calls per second.

use std::time::Instant;

/// Token bucket that holds at most one second of calls.
#[derive(Debug)]
pub struct Rate {
    tokens: f64,
    filled: Instant,
}

impl Rate {
    /// Creates a full bucket for `per_second` calls.
    pub fn new(per_second: u64) -> Self {
        Self {
            tokens: per_second as f64,
            filled: Instant::now(),
        }
    }

    /// Takes one call, or returns the milliseconds until the next one is allowed; a limit of 0
    /// calls per second means no limit.
    pub fn take(&mut self, per_second: u64, now: Instant) -> Result<(), u64> {
        if per_second == 0 {
            return Ok(());
        }
        let limit = per_second as f64;
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + elapsed * limit).min(limit);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait_ms = (1.0 - self.tokens) / limit * 1000.0;
        Err(wait_ms.ceil() as u64)
    }
}
