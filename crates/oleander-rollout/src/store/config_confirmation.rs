//! When the configuration in force was last known to be the newest.

use crate::prelude::*;
use std::cell::Cell;
use std::rc::Rc;

/// When the configuration in force was last known to be the newest of the store, for the tasks of
/// one thread; cheap to clone.
///
/// A confirmation is recorded only after the configuration that it is about has been put into force.
#[derive(Clone, Debug, Default)]
pub struct ConfigConfirmation {
    at: Rc<Cell<Option<Millis>>>,
}

impl ConfigConfirmation {
    /// Records that the configuration in force was the newest at the time `at`.
    pub fn record(&self, at: Millis) {
        self.at.set(self.at.get().max(Some(at)));
    }

    /// Returns when the configuration was last confirmed; `None` if it never was.
    pub fn at(&self) -> Option<Millis> {
        self.at.get()
    }

    /// Returns the time since the last confirmation; [`Millis::MAX`] without one.
    pub fn age(&self) -> Millis {
        self.at.get().map_or(Millis::MAX, |at| now().since(at))
    }

    /// Returns the last confirmation in milliseconds after `start`; negative if it was earlier.
    ///
    /// Another process gets it as an answer to a call that arrived at `start`.
    pub fn relative_to(&self, start: Millis) -> Option<i64> {
        let at = self.at.get()?;
        let distance = |later: Millis, earlier| i64::try_from(later.since(earlier).0).ok();
        if at >= start {
            distance(at, start)
        } else {
            distance(start, at).map(|distance| -distance)
        }
    }

    /// Records the confirmation of another process, `offset` milliseconds after the arrival of a
    /// call that this process sent at `sent_at`. It is taken for as old as it may be: the call may
    /// have arrived at once.
    pub fn record_relative(&self, sent_at: Millis, offset: i64) {
        self.record(Millis(sent_at.0.saturating_add_signed(offset)));
    }
}
