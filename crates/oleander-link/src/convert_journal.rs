//! Conversions of the messages about configuration journals.

use crate::wire;
use oleanderlock::journal_messages::{JournalDigest, JournalEntries, JournalEntry, JournalFetch};
use oleanderlock::prelude::*;

impl From<JournalDigest> for wire::JournalDigest {
    fn from(digest: JournalDigest) -> Self {
        Self {
            epoch: digest.epoch.0,
            offset: digest.offset,
            digest: digest.digest,
        }
    }
}

impl From<wire::JournalDigest> for JournalDigest {
    fn from(digest: wire::JournalDigest) -> Self {
        Self {
            epoch: Incarnation(digest.epoch),
            offset: digest.offset,
            digest: digest.digest,
        }
    }
}

impl From<JournalFetch> for wire::JournalFetch {
    fn from(fetch: JournalFetch) -> Self {
        Self {
            epoch: fetch.epoch.0,
            offset: fetch.after,
        }
    }
}

impl From<wire::JournalFetch> for JournalFetch {
    fn from(fetch: wire::JournalFetch) -> Self {
        Self {
            epoch: Incarnation(fetch.epoch),
            after: fetch.offset,
        }
    }
}

impl From<JournalEntry> for wire::JournalEntry {
    fn from(entry: JournalEntry) -> Self {
        Self {
            name: entry.name,
            generation: entry.generation.0,
            value: entry.value,
        }
    }
}

impl From<wire::JournalEntry> for JournalEntry {
    fn from(entry: wire::JournalEntry) -> Self {
        Self {
            name: entry.name,
            generation: Generation(entry.generation),
            value: entry.value,
        }
    }
}

impl From<JournalEntries> for wire::JournalEntries {
    fn from(reply: JournalEntries) -> Self {
        Self {
            epoch: reply.epoch.0,
            offset: reply.upto,
            entries: reply.entries.into_iter().map(Into::into).collect(),
            after: reply.after,
        }
    }
}

impl From<wire::JournalEntries> for JournalEntries {
    fn from(reply: wire::JournalEntries) -> Self {
        Self {
            epoch: Incarnation(reply.epoch),
            after: reply.after,
            upto: reply.offset,
            entries: reply.entries.into_iter().map(Into::into).collect(),
        }
    }
}
