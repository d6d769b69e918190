//! How far the journal of each peer has been read.

use crate::journal_messages::{JournalDigest, JournalFetch};
use crate::prelude::*;
use indexmap::IndexMap;

/// Peers of which a cursor is kept; the oldest is forgotten first, which costs one snapshot.
const MAX_CURSORS: usize = 512;
/// A fetch without an answer holds others back for this long.
const FETCH_TIMEOUT_MS: u64 = 500;
/// Least time between two digests told to one peer in answer to its own.
const DIGEST_REPLY_INTERVAL_MS: u64 = 1000;

/// Position in the journal of one peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PeerCursor {
    epoch: Incarnation,
    /// Everything up to here was applied.
    read: u64,
    /// Last offset that the peer named.
    head: u64,
    /// Last digest that the peer named.
    digest: u64,
    digest_received_at: Millis,
    digest_sent_at: Option<Millis>,
}

/// The one fetch that is_within for its answer. Peers tell of the same change at about the same time,
/// and most of them have nothing new once the first has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingFetch {
    peer: String,
    sent_at: Millis,
}

/// Positions in the journals of all peers; holds at most 512.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct JournalCursors {
    cursors: IndexMap<String, PeerCursor>,
    open: Option<PendingFetch>,
}

impl JournalCursors {
    /// Notes what a peer says of itself.
    pub(crate) fn record_digest(&mut self, now: Millis, peer: &str, digest: JournalDigest) {
        let cursor = self.cursor(peer);
        if cursor.epoch != digest.epoch {
            *cursor = PeerCursor {
                epoch: digest.epoch,
                ..PeerCursor::default()
            };
        }
        cursor.head = cursor.head.max(digest.offset);
        cursor.digest = digest.digest;
        cursor.digest_received_at = now;
    }

    /// Returns the peers whose digest came within the last `within`.
    pub(crate) fn recent_peers(&self, now: Millis, within: Millis) -> impl Iterator<Item = &str> {
        let recent = move |cursor: &PeerCursor| now.since(cursor.digest_received_at) <= within;
        let seen = self.cursors.iter().filter(move |(_, c)| recent(c));
        seen.map(|(peer, _)| peer.as_str())
    }

    /// Notes that the peer has nothing that this process lacks.
    pub(crate) fn mark_read(&mut self, peer: &str) {
        let cursor = self.cursor(peer);
        cursor.read = cursor.head;
    }

    /// Notes all peers whose last digest is `own`, and returns one that has more, `last` first.
    pub(crate) fn next_unread(&mut self, own: u64, last: &str) -> Option<String> {
        for cursor in self
            .cursors
            .values_mut()
            .filter(|cursor| cursor.digest == own)
        {
            cursor.read = cursor.head;
        }
        if self.has_unread(last) {
            return Some(last.to_owned());
        }
        let behind = |(_, cursor): &(&String, &PeerCursor)| cursor.read < cursor.head;
        let next = self.cursors.iter().find(behind);
        next.map(|(peer, _)| peer.clone())
    }

    /// Notes that changes were applied. Returns false, and notes nothing, when they leave a gap
    /// or belong to another epoch.
    pub(crate) fn advance(
        &mut self,
        peer: &str,
        epoch: Incarnation,
        after: u64,
        upto: u64,
    ) -> bool {
        self.open.take_if(|open| open.peer == peer);
        let cursor = self.cursor(peer);
        if cursor.epoch != epoch || after > cursor.read {
            return false;
        }
        cursor.read = cursor.read.max(upto);
        true
    }

    /// Tells whether the peer has changes that were not applied.
    pub(crate) fn has_unread(&mut self, peer: &str) -> bool {
        let cursor = self.cursor(peer);
        cursor.read < cursor.head
    }

    /// Returns the fetch to send, or `None` while another one may still be answered.
    pub(crate) fn start_fetch(&mut self, now: Millis, peer: &str) -> Option<JournalFetch> {
        let sent_at = self.open.as_ref().map(|open| open.sent_at);
        if is_within(sent_at, now, FETCH_TIMEOUT_MS) {
            return None;
        }
        let peer = peer.to_owned();
        let cursor = *self.cursor(&peer);
        let sent_at = now;
        self.open = Some(PendingFetch { peer, sent_at });
        Some(JournalFetch {
            epoch: cursor.epoch,
            after: cursor.read,
        })
    }

    /// Tells whether the peer may be told the own digest now, and notes that it was.
    pub(crate) fn allow_digest(&mut self, now: Millis, peer: &str) -> bool {
        let cursor = self.cursor(peer);
        if is_within(cursor.digest_sent_at, now, DIGEST_REPLY_INTERVAL_MS) {
            return false;
        }
        cursor.digest_sent_at = Some(now);
        true
    }

    fn cursor(&mut self, peer: &str) -> &mut PeerCursor {
        if !self.cursors.contains_key(peer) && self.cursors.len() >= MAX_CURSORS {
            self.cursors.shift_remove_index(0);
        }
        self.cursors.entry(peer.to_owned()).or_default()
    }
}

fn is_within(since: Option<Millis>, now: Millis, interval_ms: u64) -> bool {
    since.is_some_and(|at| now.since(at) < Millis(interval_ms))
}
