//! Rate limits on one process's calls to the platform's store.

use crate::backoff::{Backoff, BackoffConfig};
use crate::prelude::*;
use strum::{Display, IntoStaticStr, VariantArray};

/// One call, in thousandths of a call, the unit of the rates.
const CALL_COST: u64 = 1000;

/// Kinds of calls with separate rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "lowercase")]
pub enum StoreCall {
    /// A read or a watch.
    Read,
    /// A conditional write.
    Write,
}

/// Rates of one process's calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRates {
    /// Reads and watches, in thousandths of a call per second.
    pub read_milli: u64,
    /// Writes, in thousandths of a call per second.
    pub write_milli: u64,
    /// Most calls that may be made at once after an idle time.
    pub burst: u64,
}

impl StoreRates {
    /// Returns the rate of each of `instances` processes that share `percent` of the store's calls
    /// per second, in thousandths of a call per second.
    pub fn share_milli(calls_per_second: u64, percent: u64, instances: u64) -> u64 {
        calls_per_second * percent * CALL_COST / 100 / instances.max(1)
    }
}

/// How long a call has to wait, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreWait {
    /// Time until the call may be made.
    pub wait: Millis,
    /// Whether it waits because an earlier call failed; otherwise the rate is used up.
    pub backoff: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Bucket {
    milli_per_second: u64,
    /// Calls that may be made now, in millionths of a call.
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
            read: Bucket::new(now, rates.read_milli, rates.burst),
            write: Bucket::new(now, rates.write_milli, rates.burst),
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
    fn new(now: Millis, milli_per_second: u64, burst: u64) -> Self {
        let capacity = burst.max(1) * CALL_COST * 1000;
        Self {
            milli_per_second,
            tokens: capacity,
            capacity,
            refilled_at: now,
        }
    }

    fn take(&mut self, now: Millis) -> Result<(), Millis> {
        let passed = now.since(self.refilled_at);
        let gained = passed.0.saturating_mul(self.milli_per_second);
        self.tokens = self.tokens.saturating_add(gained).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
        let cost = CALL_COST * 1000;
        if self.tokens >= cost {
            self.tokens -= cost;
            return Ok(());
        }
        let missing = cost - self.tokens;
        Err(Millis(missing.div_ceil(self.milli_per_second.max(1))))
    }
}
