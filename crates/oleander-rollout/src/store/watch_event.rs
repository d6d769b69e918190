//! What a watch of one kind reports.

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
    /// The store answers again after a [`WatchEvent::Lost`].
    Regained,
    /// The store can't be reached; sent once until it answers again.
    Lost,
}
