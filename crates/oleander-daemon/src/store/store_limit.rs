//! How often this process may call the platform's store.
//!
//! Only the rates are kept here: whoever calls again and again after a failure has a backoff of its
//! own, and a call for somebody who waits is tried at once.

use crate::prelude::*;
use oleanderlock::backoff::BackoffConfig;
use oleanderlock::store_budget::StoreBudget;
use oleanderlock::store_call::StoreCall;
use oleanderlock::store_rates::StoreRates;
use parking_lot::Mutex;
use std::sync::Arc;

/// Writes that the store takes, a second.
const STORE_WRITES_PER_S: u64 = 300;
/// Reads that the store takes, a second.
const STORE_READS_PER_S: u64 = 2000;
/// Part of the store's rates that all entries together may use, in percent.
const SHARE_PERCENT: u64 = 25;
/// Calls that may follow each other at once after a quiet time.
const BURST: u64 = 40;
/// The rate budget of one process; cheap to clone.
#[derive(Clone, Debug)]
pub struct StoreLimit {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    entries: u64,
    budget: StoreBudget,
}

impl Default for StoreLimit {
    fn default() -> Self {
        Self {
            state: Arc::new(Mutex::new(State::of(1))),
        }
    }
}

impl State {
    fn of(entries: u64) -> Self {
        let rates = StoreRates {
            read_milli: StoreRates::share_milli(STORE_READS_PER_S, SHARE_PERCENT, entries),
            write_milli: StoreRates::share_milli(STORE_WRITES_PER_S, SHARE_PERCENT, entries),
            burst: BURST,
        };
        let budget = StoreBudget::new(now(), rates, BackoffConfig::default());
        Self { entries, budget }
    }
}

impl StoreLimit {
    /// Divides the rates among this number of entries.
    pub fn share_among(&self, entries: usize) {
        let entries = entries as u64;
        let mut state = self.state.lock();
        if state.entries != entries {
            *state = State::of(entries);
        }
    }

    /// Spends one call; returns false when it must not be made now.
    pub fn take(&self, call: StoreCall) -> bool {
        self.state.lock().budget.take(now(), call).is_ok()
    }
}
