//! Estimate of the time that a rollout of weights takes.

use crate::prelude::*;

/// The size of a rollout and the rates that limit it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutEstimate {
    /// Number of workers that load the version.
    pub workers: u64,
    /// Bytes that each worker reads from the weight store.
    pub bytes_per_worker: u64,
    /// Read rate of the weight store in bytes per second, shared by all readers.
    pub store_bytes_per_second: u64,
    /// Most workers out of service at once, in percent.
    pub max_out_percent: u64,
    /// Time that a worker takes to swap to weights that it has read.
    pub swap_time: Millis,
    /// Time from the end of a swap to the order that reaches the next worker.
    pub turnaround: Millis,
}

impl RolloutEstimate {
    /// Returns the time until all workers serve the version if nothing fails.
    ///
    /// The reads share the store's rate, so their total time does not depend on the size of the
    /// waves; each wave adds a swap and a turnaround.
    pub fn time(&self) -> Millis {
        let reads =
            self.workers * self.bytes_per_worker * 1000 / self.store_bytes_per_second.max(1);
        let each_wave = self.swap_time.plus(self.turnaround);
        Millis(reads + self.waves() * each_wave.0)
    }

    /// Returns the number of waves, groups of workers that swap at the same time.
    pub fn waves(&self) -> u64 {
        let wave = (self.workers * self.max_out_percent / 100).max(1);
        self.workers.div_ceil(wave)
    }

    /// Returns the rate of the store, in bytes per second, with which the rollout takes `target`;
    /// `None` if the swaps and turnarounds alone take longer.
    pub fn rate_for(&self, target: Millis) -> Option<u64> {
        let each_wave = self.swap_time.plus(self.turnaround);
        let left = target.0.checked_sub(self.waves() * each_wave.0)?;
        (left > 0).then(|| (self.workers * self.bytes_per_worker * 1000).div_ceil(left))
    }
}
