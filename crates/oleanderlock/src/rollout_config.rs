//! Limits and timeouts of weight rollouts.

use crate::prelude::*;

/// Limits and timeouts of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutConfig {
    /// Most workers of one model out of service at once, in percent, but at least one worker.
    pub max_out_percent: u32,
    /// Most concurrent loads from the weight store, over all models.
    pub max_concurrent_loads: usize,
    /// Time after which an order without effect is sent again.
    pub order_timeout: Millis,
    /// First wait after a failed swap; it doubles each time.
    pub retry_min: Millis,
    /// Longest wait after a failed swap.
    pub retry_max: Millis,
}

impl Default for RolloutConfig {
    fn default() -> Self {
        Self {
            max_out_percent: 25,
            max_concurrent_loads: 256,
            order_timeout: Millis::from_secs(10),
            retry_min: Millis::from_secs(1),
            retry_max: Millis::from_secs(30),
        }
    }
}
