//! How often one process may call the platform's store.

use crate::backoff::{Backoff, BackoffConfig};
use crate::prelude::*;
use strum::{Display, IntoStaticStr, VariantArray};

/// Cost of one call, in thousandths, the unit of the buckets.
const CALL_COST: u64 = 1000;

/// The kinds of calls with a rate of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, VariantArray)]
#[strum(serialize_all = "lowercase")]
pub enum StoreCall {
    /// A read, or a watch that waits.
    Read,
    /// A conditional write.
    Write,
}

/// Rates of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreRates {
    /// Reads and watches, in thousandths of a call a second.
    pub read_milli: u64,
    /// Writes, in thousandths of a call a second.
    pub write_milli: u64,
    /// Calls that may follow each other at once after a quiet time.
    pub burst: u64,
}

impl StoreRates {
    /// Returns the share of a role: `percent` of the store's calls a second over `instances`.
    pub fn share_milli(calls_per_second: u64, percent: u64, instances: u64) -> u64 {
        calls_per_second * percent * CALL_COST / 100 / instances.max(1)
    }
}

/// Why a call has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreWait {
    /// Time until the call may be tried again.
    pub wait: Millis,
    /// Whether the store failed before, as opposed to the own rate being used up.
    pub backoff: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Bucket {
    milli_per_second: u64,
    /// Thousandths of a call that may be spent now, times a thousand.
    tokens: u64,
    most: u64,
    filled_at: Millis,
}

/// The rate budget of one process, with backoff after failures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreBudget {
    read: Bucket,
    write: Bucket,
    backoff: Backoff,
    not_before: Millis,
}

impl StoreBudget {
    /// Returns a full budget.
    pub fn new(now: Millis, rates: StoreRates, backoff: BackoffConfig) -> Self {
        Self {
            read: Bucket::new(now, rates.read_milli, rates.burst),
            write: Bucket::new(now, rates.write_milli, rates.burst),
            backoff: Backoff::new(backoff),
            not_before: Millis::ZERO,
        }
    }

    /// Spends one call.
    ///
    /// # Errors
    ///
    /// How long to wait; nothing is spent then.
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

    /// Notes a call that was answered.
    pub fn on_answer(&mut self) {
        self.backoff.succeed();
        self.not_before = Millis::ZERO;
    }

    /// Notes a call that failed; `retry_after` is what the store asked for, zero for nothing, and
    /// `draw` is uniform over all numbers.
    pub fn on_failure(&mut self, now: Millis, retry_after: Millis, draw: u64) {
        let wait = self.backoff.fail(draw).max(retry_after);
        self.not_before = self.not_before.max(now.plus(wait));
    }
}

impl Bucket {
    fn new(now: Millis, milli_per_second: u64, burst: u64) -> Self {
        let most = burst.max(1) * CALL_COST * 1000;
        Self {
            milli_per_second,
            tokens: most,
            most,
            filled_at: now,
        }
    }

    fn take(&mut self, now: Millis) -> Result<(), Millis> {
        let passed = now.since(self.filled_at);
        let gained = passed.0.saturating_mul(self.milli_per_second);
        self.tokens = self.tokens.saturating_add(gained).min(self.most);
        self.filled_at = self.filled_at.max(now);
        let cost = CALL_COST * 1000;
        if self.tokens >= cost {
            self.tokens -= cost;
            return Ok(());
        }
        let missing = cost - self.tokens;
        Err(Millis(missing.div_ceil(self.milli_per_second.max(1))))
    }
}
