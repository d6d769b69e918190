//! Fault switches of the object API stand-in.

use serde::{Deserialize, Serialize};

/// Fault switches of the object API stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSwitches {
    /// Every call answers 503.
    pub outage: bool,
    /// Calls are held; those still held go on once this is off.
    pub hang: bool,
    /// Delay of every call before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// The next writes take effect and their connections close without an answer.
    pub lose_answers: u64,
    /// Every Nth write likewise; 0 for none.
    pub lose_every: u64,
    /// Writes per second; 0 for no limit.
    pub write_rate: u64,
    /// Reads and watches per second; 0 for no limit.
    pub read_rate: u64,
    /// Events kept for watches.
    pub history: usize,
}

impl Default for StoreSwitches {
    fn default() -> Self {
        Self {
            outage: false,
            hang: false,
            delay_ms: 0,
            lose_answers: 0,
            lose_every: 0,
            write_rate: 400,
            read_rate: 2000,
            history: 4096,
        }
    }
}
