//! How long a rollout of weights takes.

use crate::prelude::*;

/// What a rollout has to move and how fast it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutEstimate {
    /// Workers that load the version.
    pub workers: u64,
    /// Bytes that each worker reads from the weight store.
    pub bytes_per_worker: u64,
    /// Rate of the weight store, shared by all readers, in bytes a second.
    pub store_bytes_per_second: u64,
    /// Workers that may be out of service at once, in percent.
    pub max_out_percent: u64,
    /// Time of the swap itself.
    pub swap_time: Millis,
    /// Time from a finished swap to the next worker's order: report and order.
    pub turnaround: Millis,
}

impl RolloutEstimate {
    /// Returns the time until all workers serve the version, without failures.
    ///
    /// The reads share the store's rate, so they take the same total time however they are
    /// grouped; each wave adds a swap and a turnaround.
    pub fn time(&self) -> Millis {
        let reads =
            self.workers * self.bytes_per_worker * 1000 / self.store_bytes_per_second.max(1);
        let each_wave = self.swap_time.plus(self.turnaround);
        Millis(reads + self.waves() * each_wave.0)
    }

    /// Returns the number of waves.
    pub fn waves(&self) -> u64 {
        let wave = (self.workers * self.max_out_percent / 100).max(1);
        self.workers.div_ceil(wave)
    }

    /// Returns the store's rate, in bytes a second, that meets a target; `None` when the waves
    /// alone take longer.
    pub fn rate_for(&self, target: Millis) -> Option<u64> {
        let each_wave = self.swap_time.plus(self.turnaround);
        let left = target.0.checked_sub(self.waves() * each_wave.0)?;
        (left > 0).then(|| (self.workers * self.bytes_per_worker * 1000).div_ceil(left))
    }
}
