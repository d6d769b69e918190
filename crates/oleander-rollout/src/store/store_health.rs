//! Whether the store was out of reach of this process.

use crate::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// When the store was last out of reach of this process, shared between its threads; cheap to clone.
///
/// It covers all calls, because a waiting watch does not notice that the store refuses new calls. A
/// call that fails shows nothing if the store has answered one that began later: a busy process, or one
/// large call that times out, would look like an outage.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    // Milliseconds of the boot clock; 0 for never.
    failed_at: Arc<AtomicU64>,
    // Start of the newest call that the store has answered; 0 for none.
    answered: Arc<AtomicU64>,
}

impl StoreHealth {
    /// Records that the store has answered a call that began at `began`.
    pub fn record_answer(&self, began: Millis) {
        self.answered.fetch_max(began.0, Ordering::Relaxed);
    }

    /// Records that a call that began at `began` has failed now.
    pub fn record_failure(&self, began: Millis) {
        if self.answered.load(Ordering::Relaxed) <= began.0 {
            self.failed_at.store(now().0, Ordering::Relaxed);
        }
    }

    /// Whether the store was out of reach less than `age` ago.
    pub fn failed_within(&self, age: Millis) -> bool {
        let at = self.failed_at.load(Ordering::Relaxed);
        at > 0 && now().since(Millis(at)) < age
    }
}
