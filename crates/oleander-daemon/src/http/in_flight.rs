//! Counts work in flight, for graceful shutdown.

use crate::process::metrics::Metrics;

/// One piece of work in flight; counted until dropped.
pub struct InFlight {
    metrics: Metrics,
}

impl InFlight {
    /// Counts a piece of work.
    pub fn begin(metrics: &Metrics) -> Self {
        metrics.began();
        Self {
            metrics: metrics.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.metrics.ended();
    }
}
