//! What processes tell each other about their configuration journals.

use crate::prelude::*;
use bytes::Bytes;

/// Names one state of one process's journal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct JournalDigest {
    /// Incarnation of the journal's process; offsets of different epochs are not comparable.
    pub epoch: Incarnation,
    /// Offset of the last change.
    pub offset: u64,
    /// Hash of names and generations of all objects; equal for equal configurations.
    pub digest: u64,
}

/// Asks for the changes after an offset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct JournalFetch {
    /// Epoch to which the offset belongs.
    pub epoch: Incarnation,
    /// Everything up to here is known; zero asks for all.
    pub after: u64,
}

/// One object in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct JournalEntry {
    /// Name of the object in the platform's store.
    pub name: String,
    /// Version of the object in the platform's store.
    pub generation: Generation,
    /// The object; empty when it was deleted.
    pub value: Bytes,
}

/// Objects that changed after an offset; all objects when `after` is zero.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct JournalEntries {
    /// Epoch to which the offsets belong.
    pub epoch: Incarnation,
    /// The entries follow this offset.
    pub after: u64,
    /// The entries reach up to this offset.
    pub upto: u64,
    /// The objects, in the order of their last change.
    pub entries: Vec<JournalEntry>,
}

/// What to answer to a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum JournalAnswer {
    /// The peer has changes that this process has not seen.
    Fetch(JournalFetch),
    /// The peer lacks changes; tell it so.
    Tell(JournalDigest),
}

/// A fetch and the peer that it goes to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerFetch {
    /// The peer.
    pub peer: String,
    /// What to ask of it.
    pub fetch: JournalFetch,
}
