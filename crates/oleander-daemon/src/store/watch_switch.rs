//! Whether this process watches the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A switch that the control thread sets and the watch reads; cheap to clone.
#[derive(Clone, Debug)]
pub struct WatchSwitch {
    on: Arc<AtomicBool>,
}

impl Default for WatchSwitch {
    /// A process watches until the list names enough others that do.
    fn default() -> Self {
        Self {
            on: Arc::new(AtomicBool::new(true)),
        }
    }
}

impl WatchSwitch {
    /// Turns the watch on or off.
    pub fn set(&self, on: bool) {
        self.on.store(on, Ordering::Release);
    }

    /// Tells whether the watch is on.
    pub fn is_on(&self) -> bool {
        self.on.load(Ordering::Acquire)
    }
}
