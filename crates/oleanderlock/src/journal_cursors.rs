//! Read positions in the journals of other processes.

use crate::journal_messages::{JournalDigest, JournalFetch};
use crate::prelude::*;
use indexmap::IndexMap;

/// Most cursors kept. The oldest is dropped first; its peer's journal is then read from the start
/// once more.
const MAX_CURSORS: usize = 512;
/// Time after which a fetch without an answer no longer blocks other fetches.
const FETCH_TIMEOUT_MS: u64 = 500;
/// Least time between two digests sent to one peer in answer to its own digests.
const DIGEST_REPLY_INTERVAL_MS: u64 = 1000;

/// Read position in the journal of one peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PeerCursor {
    epoch: Incarnation,
    /// Offset up to which all changes were applied.
    read: u64,
    /// Greatest offset that the peer reported.
    head: u64,
    /// Latest digest that the peer reported.
    digest: u64,
    digest_received_at: Millis,
    digest_sent_at: Option<Millis>,
}

/// The single fetch that waits for an answer. Peers announce the same change at about the same
/// time, and once one of them has answered most of the others have nothing new.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingFetch {
    peer: String,
    sent_at: Millis,
}

/// Read positions in the journals of all peers; holds at most [`MAX_CURSORS`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct JournalCursors {
    cursors: IndexMap<String, PeerCursor>,
    pending: Option<PendingFetch>,
}

impl JournalCursors {
    /// Records the digest that a peer sent of its journal.
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

    /// Returns the peers that sent a digest within the last `within`.
    pub(crate) fn recent_peers(&self, now: Millis, within: Millis) -> impl Iterator<Item = &str> {
        let recent = move |cursor: &PeerCursor| now.since(cursor.digest_received_at) <= within;
        let peers = self.cursors.iter().filter(move |(_, c)| recent(c));
        peers.map(|(peer, _)| peer.as_str())
    }

    /// Records that this process has all changes of the peer.
    pub(crate) fn mark_read(&mut self, peer: &str) {
        let cursor = self.cursor(peer);
        cursor.read = cursor.head;
    }

    /// Marks the journals of all peers with the digest `own` as read. Returns a peer with unread
    /// changes, preferably `last`.
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
        let unread = |(_, cursor): &(&String, &PeerCursor)| cursor.read < cursor.head;
        let next = self.cursors.iter().find(unread);
        next.map(|(peer, _)| peer.clone())
    }

    /// Records that the changes after `after` up to `upto` were applied. Returns false, and records
    /// nothing, if they leave a gap or belong to another epoch.
    pub(crate) fn advance(
        &mut self,
        peer: &str,
        epoch: Incarnation,
        after: u64,
        upto: u64,
    ) -> bool {
        self.pending.take_if(|fetch| fetch.peer == peer);
        let cursor = self.cursor(peer);
        if cursor.epoch != epoch || after > cursor.read {
            return false;
        }
        cursor.read = cursor.read.max(upto);
        true
    }

    /// Returns whether the peer has changes that were not applied.
    pub(crate) fn has_unread(&mut self, peer: &str) -> bool {
        let cursor = self.cursor(peer);
        cursor.read < cursor.head
    }

    /// Returns the fetch to send; `None` while another one may still be answered.
    pub(crate) fn start_fetch(&mut self, now: Millis, peer: &str) -> Option<JournalFetch> {
        let sent_at = self.pending.as_ref().map(|fetch| fetch.sent_at);
        if is_within(sent_at, now, FETCH_TIMEOUT_MS) {
            return None;
        }
        let peer = peer.to_owned();
        let cursor = *self.cursor(&peer);
        let sent_at = now;
        self.pending = Some(PendingFetch { peer, sent_at });
        Some(JournalFetch {
            epoch: cursor.epoch,
            after: cursor.read,
        })
    }

    /// Returns whether the own digest may be sent to the peer now; if so, records that it was.
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
