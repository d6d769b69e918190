//! Exponential backoff with jitter.

use crate::prelude::*;

/// Bounds of the waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackoffConfig {
    /// Bound of the first wait.
    pub min: Millis,
    /// Bound of all later waits.
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

/// The waits after failures in a row.
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

    /// Counts a failure and returns the wait after it: between half of the bound and the bound,
    /// by `draw`, which is uniform over all numbers.
    pub fn fail(&mut self, draw: u64) -> Millis {
        let doubled = self.cfg.min.0.saturating_mul(1 << self.failures.min(32));
        self.failures = self.failures.saturating_add(1);
        let bound = doubled.min(self.cfg.max.0);
        let half = bound / 2;
        Millis(half + draw % (bound - half + 1))
    }

    /// Forgets all failures.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }
}
