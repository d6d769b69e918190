//! When the store last failed a call of this process, shared between its threads.

use crate::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// When the store last failed a call of this process; cheap to clone.
///
/// A watch that waits does not notice that the store turns all new calls away.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    // Milliseconds of the boot clock; 0 for never.
    failed_at: Arc<AtomicU64>,
}

impl StoreHealth {
    /// Notes that a call failed now.
    pub fn failed(&self) {
        self.failed_at.store(now().0, Ordering::Relaxed);
    }

    /// Whether a call failed less than `age` ago.
    pub fn failed_within(&self, age: Millis) -> bool {
        let at = self.failed_at.load(Ordering::Relaxed);
        at > 0 && now().since(Millis(at)) < age
    }
}
