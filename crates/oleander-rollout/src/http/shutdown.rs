//! Graceful shutdown of a server.

use event_listener::{Event, listener};
use std::cell::Cell;
use std::rc::Rc;

/// Requests a graceful shutdown of a server and tells when it is over.
#[derive(Debug, Default)]
pub struct Shutdown {
    requested: Cell<bool>,
    event: Event,
    in_use: Cell<usize>,
}

/// Keeps a shutdown from being over until it is dropped.
#[derive(Debug)]
pub(super) struct ShutdownGuard(Rc<Shutdown>);

impl Shutdown {
    /// Requests the shutdown: the server accepts the connections that already wait for it and no
    /// more, closes idle ones, and the others after the request in flight.
    pub fn request(&self) {
        self.requested.set(true);
        self.event.notify(usize::MAX);
    }

    /// Whether the server accepts no more connections and those it accepted have closed.
    pub fn is_over(&self) -> bool {
        self.in_use.get() == 0
    }

    /// Returns what keeps the shutdown from being over.
    pub(super) fn guard(self: &Rc<Self>) -> ShutdownGuard {
        self.in_use.set(self.in_use.get() + 1);
        ShutdownGuard(Rc::clone(self))
    }
}

impl ShutdownGuard {
    /// Waits until the shutdown is requested.
    pub(super) async fn requested(&self) {
        let shutdown = &self.0;
        while !shutdown.requested.get() {
            listener!(shutdown.event => requested);
            if shutdown.requested.get() {
                break;
            }
            requested.await;
        }
    }
}

impl Drop for ShutdownGuard {
    fn drop(&mut self) {
        self.0.in_use.set(self.0.in_use.get() - 1);
    }
}
