//! Switches the watches of some kinds on and off.

use event_listener::Event;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Open while some kinds are to be watched; shared between threads and cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    open: AtomicBool,
    changed: Event,
}

impl Gate {
    /// Returns an open gate; the default one is closed.
    pub fn open() -> Self {
        let gate = Self::default();
        gate.set(true);
        gate
    }

    /// Opens or closes the gate and wakes those that wait for it.
    pub fn set(&self, open: bool) {
        self.inner.open.store(open, Ordering::SeqCst);
        self.inner.changed.notify(usize::MAX);
    }

    /// Whether the gate is open.
    pub fn is_open(&self) -> bool {
        self.inner.open.load(Ordering::SeqCst)
    }

    /// Waits until the gate is open.
    pub async fn opened(&self) {
        while !self.is_open() {
            let listener = self.inner.changed.listen();
            if self.is_open() {
                return;
            }
            listener.await;
        }
    }
}
