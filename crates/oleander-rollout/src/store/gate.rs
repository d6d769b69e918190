//! Lets a process follow some kinds only while it leads.

use event_listener::Event;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Open while some kinds are to be followed; shared between threads.
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
    /// A gate that is open.
    pub fn open() -> Self {
        let gate = Self::default();
        gate.set(true);
        gate
    }

    /// Opens or closes it.
    pub fn set(&self, open: bool) {
        self.inner.open.store(open, Ordering::SeqCst);
        self.inner.changed.notify(usize::MAX);
    }

    /// Whether it is open.
    pub fn is_open(&self) -> bool {
        self.inner.open.load(Ordering::SeqCst)
    }

    /// Waits until it is open.
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
