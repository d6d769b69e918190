//! A handle that stops a running entry.

use crate::entry::entry_event::EntryEvent;
use crate::entry::readiness::Readiness;
use std::sync::mpsc::Sender;

/// A handle that stops an entry gracefully; cheap to clone.
#[derive(Clone)]
pub struct EntryStop {
    pub(crate) events: Sender<EntryEvent>,
    pub(crate) readiness: Readiness,
}

impl EntryStop {
    /// Refuses new work from now on and stops the entry once nothing is in flight; a second call
    /// stops it at once.
    pub fn stop(&self) {
        self.readiness.stop();
        let _ = self.events.send(EntryEvent::Stop);
    }
}
