//! Graceful shutdown of a server.

use event_listener::{Event, listener};
use std::cell::Cell;

/// Requests a graceful shutdown of a server and counts its open connections.
#[derive(Debug, Default)]
pub struct Shutdown {
    requested: Cell<bool>,
    event: Event,
    pub(super) open: Cell<usize>,
}

impl Shutdown {
    /// Requests the shutdown: the server accepts no more connections, closes idle ones, and the
    /// others after the request in flight.
    pub fn request(&self) {
        self.requested.set(true);
        self.event.notify(usize::MAX);
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Waits until the shutdown is requested.
    pub(super) async fn requested(&self) {
        while !self.requested.get() {
            listener!(self.event => requested);
            if self.requested.get() {
                break;
            }
            requested.await;
        }
    }
}
