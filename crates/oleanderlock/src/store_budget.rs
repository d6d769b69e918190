//! Rate limits on one process's calls to the platform's store, the versioned object store that all
//! processes of the deployment share.

use crate::backoff::{Backoff, BackoffConfig};
use crate::prelude::*;
use crate::store_call::StoreCall;
use crate::store_rates::StoreRates;
use crate::store_wait::StoreWait;

/// Thousandths of a call in one call; rates are in thousandths of a call per second.
pub(crate) const MILLICALLS_PER_CALL: u64 = 1000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Bucket {
    millicalls_per_second: u64,
    /// Calls that may be made now, in millionths of a call: what a rate of one thousandth of a call
    /// per second gains in a millisecond.
    tokens: u64,
    /// Greatest value of `tokens`.
    capacity: u64,
    refilled_at: Millis,
}

/// Token buckets for one process's calls to the store, with backoff after failures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreBudget {
    read: Bucket,
    write: Bucket,
    backoff: Backoff,
    not_before: Millis,
}

impl StoreBudget {
    /// Creates a budget with full buckets.
    pub fn new(now: Millis, rates: StoreRates, backoff: BackoffConfig) -> Self {
        Self {
            read: Bucket::new(now, rates.read_millicalls_per_second, rates.burst),
            write: Bucket::new(now, rates.write_millicalls_per_second, rates.burst),
            backoff: Backoff::new(backoff),
            not_before: Millis::ZERO,
        }
    }

    /// Takes one call from the budget.
    ///
    /// # Errors
    ///
    /// The call has to wait; nothing is taken from the budget.
    pub fn take(&mut self, now: Millis, call: StoreCall) -> Result<(), StoreWait> {
        if now < self.not_before {
            let wait = self.not_before.since(now);
            let backoff = true;
            return Err(StoreWait { wait, backoff });
        }
        let bucket = match call {
            StoreCall::Read => &mut self.read,
            StoreCall::Write => &mut self.write,
        };
        bucket.take(now).map_err(|wait| {
            let backoff = false;
            StoreWait { wait, backoff }
        })
    }

    /// Records that the store answered a call, which ends the backoff.
    pub fn on_answer(&mut self) {
        self.backoff.succeed();
        self.not_before = Millis::ZERO;
    }

    /// Records that a call failed. `retry_after` is the wait that the store asked for, or zero;
    /// `draw` is a random number, uniform over all values.
    pub fn on_failure(&mut self, now: Millis, retry_after: Millis, draw: u64) {
        let wait = self.backoff.fail(draw).max(retry_after);
        self.not_before = self.not_before.max(now.plus(wait));
    }
}

impl Bucket {
    fn new(now: Millis, millicalls_per_second: u64, burst: u64) -> Self {
        let capacity = burst.max(1) * MILLICALLS_PER_CALL * 1000;
        Self {
            millicalls_per_second,
            tokens: capacity,
            capacity,
            refilled_at: now,
        }
    }

    fn take(&mut self, now: Millis) -> Result<(), Millis> {
        let passed = now.since(self.refilled_at);
        let gained = passed.0.saturating_mul(self.millicalls_per_second);
        self.tokens = self.tokens.saturating_add(gained).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
        let cost = MILLICALLS_PER_CALL * 1000;
        if self.tokens >= cost {
            self.tokens -= cost;
            return Ok(());
        }
        let missing = cost - self.tokens;
        Err(Millis(missing.div_ceil(self.millicalls_per_second.max(1))))
    }
}
