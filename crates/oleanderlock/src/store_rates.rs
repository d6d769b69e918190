//! Rates of calls to the store.

use crate::store_budget::MILLICALLS_PER_CALL;

/// Rates of one process's calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRates {
    /// Reads and watches, in thousandths of a call per second.
    pub read_millicalls_per_second: u64,
    /// Writes, in thousandths of a call per second.
    pub write_millicalls_per_second: u64,
    /// Most calls that may be made at once after an idle time.
    pub burst: u64,
}

impl StoreRates {
    /// Returns the rate of each of `instances` processes that share `percent` of the store's calls
    /// per second, in thousandths of a call per second.
    pub fn share_millicalls_per_second(calls_per_second: u64, percent: u64, instances: u64) -> u64 {
        calls_per_second * percent * MILLICALLS_PER_CALL / 100 / instances.max(1)
    }
}
