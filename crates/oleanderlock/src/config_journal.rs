//! The current configuration of one process.
//!
//! Objects are ordered by their last change in this process, and each change has an offset. A
//! peer fetches the changes after the offset up to which it has read. The journal keeps only the
//! last change of each object, so no offset is too old to continue from. Peers compare digests, a
//! single number, to find out whether they have the same configuration.
//!
//! Only a greater generation replaces an object, so no object reverts, whatever the order of the
//! changes and however often each arrives.

use crate::affinity_score::{hash_bytes, score};
use crate::journal_cursors::JournalCursors;
use crate::journal_messages::*;
use crate::journal_outcome::JournalOutcome;
use crate::prelude::*;
use bytes::Bytes;
use indexmap::IndexMap;

/// Most objects in a journal, deleted ones included.
pub const MAX_OBJECTS: usize = 4096;
/// Most bytes of all values in a journal.
pub const MAX_VALUE_BYTES: usize = 32 << 20;
/// Most bytes of values in one answer to a fetch; a larger single value is sent alone.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// An object and the offset of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
struct StoredObject {
    generation: Generation,
    value: Bytes,
    offset: u64,
}

/// The current configuration objects of one process, bounded by [`MAX_OBJECTS`] and
/// [`MAX_VALUE_BYTES`].
#[derive(Clone, Debug)]
pub struct ConfigJournal {
    epoch: Incarnation,
    /// Offset of the last change.
    offset: u64,
    /// Wrapping sum of the hashes of all names and generations, so that the order of changes does
    /// not matter.
    digest: u64,
    /// Ordered by offset.
    objects: IndexMap<String, StoredObject>,
    value_bytes: usize,
    cursors: JournalCursors,
    /// Objects that were refused because the journal was full.
    refused: u64,
}

impl ConfigJournal {
    /// Returns the empty journal of a process that has just started with the incarnation `epoch`.
    pub fn new(epoch: Incarnation) -> Self {
        Self {
            epoch,
            offset: 0,
            digest: 0,
            objects: IndexMap::new(),
            value_bytes: 0,
            cursors: JournalCursors::default(),
            refused: 0,
        }
    }

    /// Replaces an object unless the journal has it in the same or a greater generation. Returns
    /// whether it did; the caller then sends the new digest to its peers. A full journal refuses
    /// the object and counts it in [`Self::refused`].
    pub fn apply(&mut self, entry: JournalEntry) -> bool {
        let earlier = self.objects.get(&entry.name);
        if earlier.is_some_and(|object| object.generation >= entry.generation) {
            return false;
        }
        let freed = earlier.map_or(0, |object| object.value.len());
        let value_bytes = self.value_bytes - freed + entry.value.len();
        let is_full = earlier.is_none() && self.objects.len() >= MAX_OBJECTS;
        if is_full || value_bytes > MAX_VALUE_BYTES {
            self.refused += 1;
            return false;
        }
        self.value_bytes = value_bytes;
        if let Some(object) = self.objects.shift_remove(&entry.name) {
            self.digest = self
                .digest
                .wrapping_sub(hash(&entry.name, object.generation));
        }
        self.digest = self
            .digest
            .wrapping_add(hash(&entry.name, entry.generation));
        self.offset += 1;
        let object = StoredObject {
            generation: entry.generation,
            value: entry.value,
            offset: self.offset,
        };
        self.objects.insert(entry.name, object);
        true
    }

    /// Applies a complete listing of the store as of `revision`. Deletes the objects that are not
    /// listed, unless their generation is greater than `revision`. Returns the names of the
    /// objects that changed.
    pub fn apply_listing(
        &mut self,
        revision: Generation,
        listing: Vec<JournalEntry>,
    ) -> Vec<String> {
        let listed = |name: &str| listing.iter().any(|entry| entry.name == name);
        let deleted: Vec<JournalEntry> = self
            .objects
            .iter()
            .filter(|(name, object)| !object.value.is_empty() && !listed(name))
            .map(|(name, _)| JournalEntry {
                name: name.clone(),
                generation: revision,
                value: Bytes::new(),
            })
            .collect();
        self.apply_all(listing.into_iter().chain(deleted))
    }

    fn apply_all(&mut self, entries: impl Iterator<Item = JournalEntry>) -> Vec<String> {
        let mut changed = Vec::new();
        for entry in entries {
            let name = entry.name.clone();
            if self.apply(entry) {
                changed.push(name);
            }
        }
        changed
    }

    /// Returns the digest to send with each heartbeat and after each change.
    pub fn digest(&self) -> JournalDigest {
        JournalDigest {
            epoch: self.epoch,
            offset: self.offset,
            digest: self.digest,
        }
    }

    /// Compares a peer's digest with that of this journal. Returns the message to send back, if
    /// any.
    pub fn on_digest(
        &mut self,
        now: Millis,
        peer: &str,
        digest: JournalDigest,
    ) -> Option<JournalAnswer> {
        self.cursors.record_digest(now, peer, digest);
        if digest.digest == self.digest {
            self.cursors.mark_read(peer);
            return None;
        }
        if self.cursors.has_unread(peer) {
            return self
                .cursors
                .start_fetch(now, peer)
                .map(JournalAnswer::Fetch);
        }
        let own = self.digest();
        let may_send = self.cursors.allow_digest(now, peer);
        may_send.then_some(JournalAnswer::Tell(own))
    }

    /// Returns the peers that sent a digest within the last `within`. They are notified of changes
    /// too, besides the peers that this process chose: a process that no other one chose would
    /// otherwise learn of a change only in answer to its next heartbeat.
    pub fn recent_peers(&self, now: Millis, within: Millis) -> impl Iterator<Item = &str> {
        self.cursors.recent_peers(now, within)
    }

    /// Answers a fetch with as many changes as fit into one message, oldest first.
    pub fn on_fetch(&self, fetch: JournalFetch) -> JournalEntries {
        let same_epoch = fetch.epoch == self.epoch;
        let after = if same_epoch { fetch.after } else { 0 };
        let mut answer = JournalEntries {
            epoch: self.epoch,
            after,
            upto: self.offset,
            entries: Vec::new(),
        };
        let mut size = 0;
        let first = self
            .objects
            .values()
            .position(|object| object.offset > after);
        for (name, object) in self
            .objects
            .iter()
            .skip(first.unwrap_or(self.objects.len()))
        {
            if size > 0 && size + object.value.len() > MAX_ANSWER_BYTES {
                answer.upto = object.offset - 1;
                break;
            }
            size += object.value.len();
            answer.entries.push(object.entry(name));
        }
        answer
    }

    /// Applies the entries of a peer that are newer than the own objects.
    pub fn on_entries(
        &mut self,
        now: Millis,
        peer: &str,
        answer: JournalEntries,
    ) -> JournalOutcome {
        let changed = self.apply_all(answer.entries.into_iter());
        let JournalEntries {
            epoch, after, upto, ..
        } = answer;
        self.cursors.advance(peer, epoch, after, upto);
        let fetch = self.next_fetch(now, peer);
        JournalOutcome { changed, fetch }
    }

    fn next_fetch(&mut self, now: Millis, last: &str) -> Option<PeerFetch> {
        let peer = self.cursors.next_unread(self.digest, last)?;
        let fetch = self.cursors.start_fetch(now, &peer)?;
        Some(PeerFetch { peer, fetch })
    }

    /// Returns an object; `None` if it does not exist or was deleted.
    pub fn get(&self, name: &str) -> Option<JournalEntry> {
        let object = self.objects.get(name)?;
        (!object.value.is_empty()).then(|| object.entry(name))
    }

    /// Returns all objects, deleted ones included, for a snapshot on disk.
    pub fn entries(&self) -> Vec<JournalEntry> {
        let objects = self.objects.iter();
        objects.map(|(name, object)| object.entry(name)).collect()
    }

    /// Returns how many changes were refused because the journal was full.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

impl StoredObject {
    fn entry(&self, name: &str) -> JournalEntry {
        JournalEntry {
            name: name.to_owned(),
            generation: self.generation,
            value: self.value.clone(),
        }
    }
}

fn hash(name: &str, generation: Generation) -> u64 {
    score(hash_bytes(name.as_bytes()), generation.0)
}
