//! Time of the last failed call of this process to the store.

use crate::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Time of the last failed call of this process to the store, shared between its threads; cheap to
/// clone.
///
/// It covers all calls, because a waiting watch does not notice that the store refuses new calls.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    // Milliseconds of the boot clock; 0 for never.
    failed_at: Arc<AtomicU64>,
}

impl StoreHealth {
    /// Records that a call has failed now.
    pub fn record_failure(&self) {
        self.failed_at.store(now().0, Ordering::Relaxed);
    }

    /// Whether a call has failed less than `age` ago.
    pub fn failed_within(&self, age: Millis) -> bool {
        let at = self.failed_at.load(Ordering::Relaxed);
        at > 0 && now().since(Millis(at)) < age
    }
}
