//! Counts requests in flight, for graceful shutdown.

use crate::process::metrics::Metrics;

/// Counts one request as in flight until it is dropped.
pub struct InFlightGuard {
    metrics: Metrics,
}

impl InFlightGuard {
    /// Starts to count a request.
    pub fn new(metrics: &Metrics) -> Self {
        metrics.begin_work();
        Self {
            metrics: metrics.clone(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.metrics.end_work();
    }
}
