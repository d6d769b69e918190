//! A small fake of the store for light nodes: it answers reads and waiting watches over a link
//! and counts each as a call.

use oleander_link::wire::frame::Body;
use oleander_link::{Delivery, LinkKeys, Mailbox, Peers};
use oleanderlock::config_journal::ConfigJournal;
use oleanderlock::journal_messages::*;
use oleanderlock::prelude::*;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The store and its waiting watches.
pub struct FakeStore {
    /// Link address.
    pub link: String,
    /// Calls so far.
    pub calls: AtomicU64,
    /// Whether a fetch waits until something changes.
    waits: bool,
    peers: Peers,
    state: Mutex<State>,
}

struct State {
    journal: ConfigJournal,
    waiting: Vec<Waiting>,
}

struct Waiting {
    link: String,
    after: u64,
}

impl FakeStore {
    /// Returns an empty store; `waits` makes each fetch a watch.
    pub fn new(link: &str, waits: bool, keys: &LinkKeys) -> Self {
        Self {
            link: link.to_owned(),
            calls: AtomicU64::new(0),
            waits,
            peers: Peers::new(link, Incarnation(1), keys.clone(), |_| ()),
            state: Mutex::new(State {
                journal: ConfigJournal::new(Incarnation(0)),
                waiting: Vec::new(),
            }),
        }
    }

    /// Binds the mailbox of `store`.
    pub fn bind(store: &Arc<Self>, keys: &LinkKeys) -> Mailbox {
        let owner = store.clone();
        let deliver = move |delivery| {
            if let Delivery::Frame(frame) = delivery
                && let Some(Body::JournalFetch(fetch)) = frame.body
            {
                owner.on_fetch(frame.from, fetch.offset);
            }
        };
        Mailbox::bind(&store.link, keys.clone(), deliver).expect("a free port")
    }

    /// Writes one object, answers the waiting watches and returns the new digest.
    pub fn write(&self, entry: JournalEntry) -> u64 {
        let mut state = self.state.lock();
        state.journal.apply(entry);
        let digest = state.journal.digest().digest;
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        for watch in waiting {
            self.answer(&watch.link, watch.after);
        }
        digest
    }

    fn on_fetch(&self, link: String, after: u64) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mut state = self.state.lock();
        if self.waits && after >= state.journal.digest().offset {
            state.waiting.retain(|watch| watch.link != link);
            state.waiting.push(Waiting { link, after });
            return;
        }
        drop(state);
        self.answer(&link, after);
    }

    fn answer(&self, link: &str, after: u64) {
        let epoch = Incarnation(0);
        let answer = self
            .state
            .lock()
            .journal
            .on_fetch(JournalFetch { epoch, after });
        let _ = self.peers.send(link, Body::JournalEntries(answer.into()));
    }
}
