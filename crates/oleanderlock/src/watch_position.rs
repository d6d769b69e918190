//! The position from which a watch of the store continues after it is interrupted.

use crate::prelude::*;
use crate::watch_call::WatchCall;

/// The position of one watcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WatchPosition {
    read: Option<Generation>,
}

impl WatchPosition {
    /// Returns the next call.
    pub fn next(&self) -> WatchCall {
        match self.read {
            Some(after) => WatchCall::Watch { after },
            None => WatchCall::List,
        }
    }

    /// Records that all changes up to `revision` were applied. A revision smaller than the last one
    /// means that the store lost its state; the next call is then a listing.
    pub fn on_read(&mut self, revision: Generation) {
        let lost = self.read.is_some_and(|read| revision < read);
        self.read = (!lost).then_some(revision);
    }

    /// Records that the store no longer has the changes after the position; the next call is then a
    /// listing.
    pub fn on_history_gone(&mut self) {
        self.read = None;
    }
}
