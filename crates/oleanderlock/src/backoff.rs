//! Exponential backoff with jitter.

use crate::prelude::*;

/// Bounds of the backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffConfig {
    /// Upper bound of the first wait; doubles with each failure.
    pub min: Millis,
    /// Maximum upper bound of a wait.
    pub max: Millis,
}

impl Default for BackoffConfig {
    fn default() -> Self {
        Self {
            min: Millis(100),
            max: Millis::from_secs(10),
        }
    }
}

/// Exponential backoff over consecutive failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    cfg: BackoffConfig,
    failures: u32,
}

impl Backoff {
    /// Returns a backoff without failures.
    pub fn new(cfg: BackoffConfig) -> Self {
        Self { cfg, failures: 0 }
    }

    /// Counts a failure and returns the wait before the next try. It lies between half the bound
    /// and the bound, by the uniformly distributed random number `draw`.
    pub fn fail(&mut self, draw: u64) -> Millis {
        let doubled = self.cfg.min.0.saturating_mul(1 << self.failures.min(32));
        self.failures = self.failures.saturating_add(1);
        let bound = doubled.min(self.cfg.max.0);
        let half = bound / 2;
        Millis(half + draw % (bound - half + 1))
    }

    /// Resets the count of failures.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }
}
