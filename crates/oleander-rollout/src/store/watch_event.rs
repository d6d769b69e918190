//! What a watch of one kind reports.

use crate::prelude::*;
use oleander_platform::stored_object::StoredObject;

/// A change of the objects of a watched kind, or of the connection to the store.
#[derive(Debug)]
pub enum WatchEvent {
    /// The complete list of objects and the revision of the store at which it was read.
    All(Vec<StoredObject>, u64),
    /// An object was created or changed.
    Put(StoredObject),
    /// The object with this name was deleted.
    Gone(String),
    /// All changes up to this time of the boot clock have been reported.
    Current(Millis),
    /// The store answers again after a [`WatchEvent::Lost`].
    Regained,
    /// The store can't be reached; sent once until it answers again.
    Lost,
}

impl WatchEvent {
    /// Whether the event brings objects or a deletion.
    pub fn is_change(&self) -> bool {
        matches!(self, Self::All(..) | Self::Put(_) | Self::Gone(_))
    }
}
