//! A light node: a mailbox, links to peers and a configuration journal, without a daemon.

use oleander_link::wire::frame::Body;
use oleander_link::wire::{self, Frame};
use oleander_link::{Delivery, LinkKeys, Mailbox, Peers};
use oleanderlock::config_journal::ConfigJournal;
use oleanderlock::journal_messages::*;
use oleanderlock::prelude::*;
use parking_lot::Mutex;
use prost::Message;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Bytes of key, code and lengths around a frame, and of the TCP and IP headers of a message.
const OVERHEAD_BYTES: u64 = 43 + 60;

/// Two heartbeats.
const RECENT: Millis = Millis::from_secs(4);

/// How a node learns of changes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Mechanism {
    /// Every node asks the store once an interval.
    Poll,
    /// Every node has a watch at the store.
    Watch,
    /// Few nodes watch; peers compare digests and fetch all objects.
    DigestSnapshot,
    /// Few nodes watch; peers compare digests and fetch what changed after an offset.
    Journal,
}

/// What one node sent and received.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes sent and received.
    pub bytes: AtomicU64,
    /// Messages sent and received.
    pub messages: AtomicU64,
}

/// One light node.
pub struct LightNode {
    /// Its link address.
    pub link: String,
    /// Whether it watches the store itself.
    pub watches: bool,
    /// Its own traffic.
    pub traffic: Traffic,
    mechanism: Mechanism,
    store: String,
    /// Offset of the store up to which this node has read.
    store_read: AtomicU64,
    peers: Peers,
    neighbours: Vec<String>,
    journal: Mutex<ConfigJournal>,
    started: Instant,
}

impl LightNode {
    /// Returns a node that sends from `link`, asks `store` if it watches, and compares digests
    /// with `neighbours`.
    pub fn new(
        link: &str,
        store: &str,
        mechanism: Mechanism,
        watches: bool,
        neighbours: Vec<String>,
        keys: &LinkKeys,
    ) -> Self {
        let epoch = Incarnation(rand::random());
        Self {
            link: link.to_owned(),
            watches,
            traffic: Traffic::default(),
            mechanism,
            store: store.to_owned(),
            store_read: AtomicU64::new(0),
            peers: Peers::new(link, epoch, keys.clone(), |_| ()),
            neighbours,
            journal: Mutex::new(ConfigJournal::new(epoch)),
            started: Instant::now(),
        }
    }

    /// Binds the mailbox of `node`.
    pub fn bind(node: &Arc<Self>, keys: &LinkKeys) -> Mailbox {
        let owner = node.clone();
        let deliver = move |delivery| {
            if let Delivery::Frame(frame) = delivery {
                owner.receive(*frame);
            }
        };
        Mailbox::bind(&node.link, keys.clone(), deliver).expect("a free port")
    }

    /// Forgets everything and asks again, as a restarted process does.
    pub fn restart(&self) {
        *self.journal.lock() = ConfigJournal::new(Incarnation(rand::random()));
        self.store_read.store(0, Ordering::Relaxed);
        if self.watches {
            self.ask_store();
        }
        self.tell_neighbours();
    }

    /// Returns the digest in force.
    pub fn digest(&self) -> u64 {
        self.journal.lock().digest().digest
    }

    /// Sends the digest to all neighbours and to the peers that sent theirs of late.
    fn tell_change(&self) {
        let journal = self.journal.lock();
        let recent = journal.recent_peers(self.now(), RECENT);
        let mut peers = self.neighbours.clone();
        peers.extend(recent.map(str::to_owned));
        let digest = journal.digest();
        drop(journal);
        peers.sort();
        peers.dedup();
        for peer in peers {
            self.send(&peer, Body::JournalDigest(digest.into()));
        }
    }

    /// Sends the digest to all neighbours.
    pub fn tell_neighbours(&self) {
        let digest = self.journal.lock().digest();
        for peer in &self.neighbours {
            self.send(peer, Body::JournalDigest(digest.into()));
        }
    }

    /// Asks the store for what changed.
    pub fn ask_store(&self) {
        let fetch = wire::JournalFetch {
            epoch: 0,
            offset: self.store_read.load(Ordering::Relaxed),
        };
        self.send(&self.store, Body::JournalFetch(fetch));
    }

    fn now(&self) -> Millis {
        self.started.elapsed().into()
    }

    fn receive(&self, frame: Frame) {
        self.count(&frame);
        let Some(body) = frame.body else {
            return;
        };
        match body {
            Body::JournalDigest(digest) => self.on_digest(&frame.from, digest.into()),
            Body::JournalFetch(fetch) => self.on_fetch(&frame.from, fetch.into()),
            Body::JournalEntries(entries) => self.on_entries(&frame.from, entries.into()),
            _ => {}
        }
    }

    fn on_digest(&self, from: &str, digest: JournalDigest) {
        let answer = self.journal.lock().on_digest(self.now(), from, digest);
        match answer {
            Some(JournalAnswer::Fetch(fetch)) => self.fetch(from, fetch),
            Some(JournalAnswer::Tell(own)) => self.send(from, Body::JournalDigest(own.into())),
            None => {}
        }
    }

    fn fetch(&self, from: &str, fetch: JournalFetch) {
        let whole = self.mechanism == Mechanism::DigestSnapshot;
        let offset = if whole { 0 } else { fetch.after };
        let epoch = fetch.epoch.0;
        self.send(
            from,
            Body::JournalFetch(wire::JournalFetch { epoch, offset }),
        );
    }

    fn on_fetch(&self, from: &str, fetch: JournalFetch) {
        let answer = self.journal.lock().on_fetch(fetch);
        self.send(from, Body::JournalEntries(answer.into()));
    }

    fn on_entries(&self, from: &str, answer: JournalEntries) {
        let upto = answer.upto;
        let outcome = self.journal.lock().on_entries(self.now(), from, answer);
        if let Some(next) = outcome.fetch {
            self.fetch(&next.peer, next.fetch);
        }
        if !outcome.changed.is_empty() {
            self.tell_change();
        }
        if from == self.store {
            self.store_read.store(upto, Ordering::Relaxed);
        }
        if from == self.store && self.mechanism != Mechanism::Poll {
            self.ask_store();
        }
    }

    fn send(&self, peer: &str, body: Body) {
        let frame = Frame {
            from: self.link.clone(),
            incarnation: 0,
            body: Some(body),
        };
        self.count(&frame);
        // A lost message is repaired by the next heartbeat.
        let _ = self.peers.send(peer, frame.body.expect("a body"));
    }

    fn count(&self, frame: &Frame) {
        let bytes = frame.encoded_len() as u64 + OVERHEAD_BYTES;
        self.traffic.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.traffic.messages.fetch_add(1, Ordering::Relaxed);
    }
}
