//! Limits the rate at which this process calls the platform's store.
//!
//! There is no backoff here: loops that retry after a failure have their own, and a call on behalf
//! of a waiting client is tried at once.

use crate::prelude::*;
use oleanderlock::backoff::BackoffConfig;
use oleanderlock::store_budget::StoreBudget;
use oleanderlock::store_call::StoreCall;
use oleanderlock::store_rates::StoreRates;
use parking_lot::Mutex;
use std::sync::Arc;

/// Writes per second that the store supports.
const STORE_WRITES_PER_S: u64 = 300;
/// Reads per second that the store supports.
const STORE_READS_PER_S: u64 = 2000;
/// Share of the store's rates that all entries together may use, in percent.
const SHARE_PERCENT: u64 = 25;
/// Maximum number of calls in a burst after an idle period.
const BURST: u64 = 40;

/// Limit of the rate at which one process calls the store; cheap to clone.
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
            state: Arc::new(Mutex::new(State::new(1))),
        }
    }
}

impl State {
    fn new(entries: u64) -> Self {
        let rates = StoreRates {
            read_millicalls_per_second: StoreRates::share_millicalls_per_second(
                STORE_READS_PER_S,
                SHARE_PERCENT,
                entries,
            ),
            write_millicalls_per_second: StoreRates::share_millicalls_per_second(
                STORE_WRITES_PER_S,
                SHARE_PERCENT,
                entries,
            ),
            burst: BURST,
        };
        let budget = StoreBudget::new(now(), rates, BackoffConfig::default());
        Self { entries, budget }
    }
}

impl StoreLimit {
    /// Sets the number of entries that share the rates; a change resets the budget.
    pub fn share_among(&self, entries: usize) {
        let entries = entries as u64;
        let mut state = self.state.lock();
        if state.entries != entries {
            *state = State::new(entries);
        }
    }

    /// Takes one call from the budget; returns false when the call must not be made now.
    pub fn try_take(&self, call: StoreCall) -> bool {
        self.state.lock().budget.take(now(), call).is_ok()
    }
}
