//! Switch for the watch of the store by this process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// A switch that the control thread sets and the watch task reads; cheap to clone.
#[derive(Clone, Debug)]
pub struct WatchSwitch {
    on: Arc<AtomicBool>,
}

impl Default for WatchSwitch {
    /// Returns a switch that is on: a process watches the store until it knows enough others that do.
    fn default() -> Self {
        Self {
            on: Arc::new(AtomicBool::new(true)),
        }
    }
}

impl WatchSwitch {
    /// Switches the watch on or off.
    pub fn set(&self, on: bool) {
        self.on.store(on, Ordering::Release);
    }

    /// Returns whether the watch is on.
    pub fn is_on(&self) -> bool {
        self.on.load(Ordering::Acquire)
    }
}
