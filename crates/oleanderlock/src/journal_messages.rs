//! Messages by which processes exchange their configuration journals.

use crate::prelude::*;
use bytes::Bytes;

/// The state of one process's journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct JournalDigest {
    /// Incarnation of the journal's process; offsets of different epochs are not comparable.
    pub epoch: Incarnation,
    /// Offset of the last change.
    pub offset: u64,
    /// Hash of the names and generations of all objects; equal for equal configurations.
    pub digest: u64,
}

/// Asks for the changes after an offset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct JournalFetch {
    /// Epoch to which the offset belongs.
    pub epoch: Incarnation,
    /// Offset up to which the sender knows all changes; zero asks for all objects.
    pub after: u64,
}

/// The current state of one object.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct JournalEntry {
    /// Name of the object in the platform's store.
    pub name: String,
    /// Version of the object in the platform's store.
    pub generation: Generation,
    /// Value of the object; empty if it was deleted.
    pub value: Bytes,
}

/// Answers a [`JournalFetch`] with the objects that changed after an offset; all objects if
/// `after` is zero.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct JournalEntries {
    /// Epoch to which the offsets belong.
    pub epoch: Incarnation,
    /// Offset after which the entries start.
    pub after: u64,
    /// Offset up to which the entries are complete; a fetch after it continues.
    pub upto: u64,
    /// The objects, in the order of their last change.
    pub entries: Vec<JournalEntry>,
}

/// The answer to a peer's digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum JournalAnswer {
    /// Fetch the changes of the peer that this process lacks.
    Fetch(JournalFetch),
    /// Send the own digest, since the peer lacks changes.
    Tell(JournalDigest),
}

/// A fetch and the peer to send it to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerFetch {
    /// Name of the peer.
    pub peer: String,
    /// The fetch.
    pub fetch: JournalFetch,
}
