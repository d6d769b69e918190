//! Where a watch of the store goes on after a break.

use crate::prelude::*;

/// The next call of a watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchCall {
    /// Read everything; the history that was missed is unknown or gone.
    List,
    /// Wait for changes after this revision.
    Watch {
        /// The last revision that was read.
        after: Generation,
    },
}

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

    /// Notes that everything up to `revision` was applied. A smaller revision than the last, as a
    /// store shows that lost its state, leads to a new listing.
    pub fn on_read(&mut self, revision: Generation) {
        let lost = self.read.is_some_and(|read| revision < read);
        self.read = (!lost).then_some(revision);
    }

    /// Notes that the store no longer has the history after the position.
    pub fn on_history_gone(&mut self) {
        self.read = None;
    }
}
