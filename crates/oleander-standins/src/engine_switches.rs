//! Settings and fault switches of a model engine stand-in.

use serde::{Deserialize, Serialize};

/// Settings and fault switches of a model engine stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSwitches {
    /// Most requests in the batch.
    pub capacity: usize,
    /// Time per token of one request, in microseconds.
    pub token_us: u64,
    /// Multiplies the time per token.
    pub slow_factor: f64,
    /// Time that a prompt outside the prefix cache costs first, in milliseconds.
    pub prefill_ms: u64,
    /// Most tokens in one event.
    pub chunk_tokens: u64,
    /// Prefixes kept.
    pub cache_entries: usize,
    /// Length of a weight swap, in milliseconds.
    pub swap_ms: u64,
    /// The next swaps fail and leave the version unknown.
    pub fail_swaps: u64,
    /// A failed swap truly serves the new version; otherwise the old one.
    pub fail_serves_new: bool,
    /// Time after a failed swap for which the engine can't tell its version, in milliseconds.
    pub resolve_ms: u64,
    /// Orders with an old fencing number are refused.
    pub obey_fence: bool,
    /// Age of the load that is reported, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay of cache events, in milliseconds.
    pub event_lag_ms: u64,
    /// Every Nth cache event is left out; 0 for none.
    pub event_gap: u64,
    /// The next streams break in the middle.
    pub break_streams: u64,
    /// Calls are held and no token is made; those still held go on once this is off.
    pub hang: bool,
}

impl Default for EngineSwitches {
    fn default() -> Self {
        Self {
            capacity: 16,
            token_us: 1000,
            slow_factor: 1.0,
            prefill_ms: 20,
            chunk_tokens: 8,
            cache_entries: 256,
            swap_ms: 100,
            fail_swaps: 0,
            fail_serves_new: true,
            resolve_ms: 0,
            obey_fence: false,
            load_lag_ms: 0,
            event_lag_ms: 0,
            event_gap: 0,
            break_streams: 0,
            hang: false,
        }
    }
}

impl EngineSwitches {
    /// Time per token with the slow factor, in microseconds; at least one.
    pub fn pace_us(&self) -> u64 {
        let pace = self.token_us as f64 * self.slow_factor.max(0.0);
        (pace as u64).max(1)
    }
}
