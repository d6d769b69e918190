//! Attempts in flight at an entry, and who waits for their words.

use crate::prelude::*;
use async_channel::{Receiver, Sender};
use oleanderlock::request_outcome::Outcome;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;

/// Number of locks that share the table.
const SHARDS: usize = 16;

/// A word of an agent, or about it, on one attempt.
#[derive(Clone, Debug)]
pub enum Word {
    /// Part of the answer.
    Chunk(wire::Chunk),
    /// The agent's final word, and the load that came with it.
    Finished(Ticket, Outcome, Option<wire::Load>),
    /// The agent's answer to a burial.
    Buried(Ticket, Ran),
    /// The connection to the agent broke.
    Disconnected(Ticket),
    /// The agent's incarnation is gone.
    AgentGone(Incarnation),
}

struct Flight {
    words: Sender<Word>,
    link: String,
}

/// The table of attempts in flight; cheap to clone.
///
/// Bounded by the requests in flight, each of which keeps its latest attempts only.
#[derive(Clone, Default)]
pub struct Inflight {
    shards: Arc<[Mutex<HashMap<Ticket, Flight>>; SHARDS]>,
}

/// The words for one request; its attempts leave the table when this is dropped.
pub struct Words {
    table: Inflight,
    tx: Sender<Word>,
    rx: Receiver<Word>,
    tickets: Vec<Ticket>,
}

impl Inflight {
    /// Opens a receiver for one request.
    pub fn open(&self) -> Words {
        let (tx, rx) = async_channel::unbounded();
        Words {
            table: self.clone(),
            tx,
            rx,
            tickets: Vec::new(),
        }
    }

    /// Hands a word to the request that waits for it; returns whether there was one.
    pub fn deliver(&self, ticket: Ticket, word: Word) -> bool {
        let shard = self.shard(ticket).lock();
        let Some(flight) = shard.get(&ticket) else {
            return false;
        };
        flight.words.try_send(word).is_ok()
    }

    /// Tells all attempts at `link` that the connection broke.
    pub fn disconnected(&self, link: &str) {
        self.for_each(|ticket, flight| {
            if flight.link == link {
                let _ = flight.words.try_send(Word::Disconnected(*ticket));
            }
        });
    }

    /// Tells all attempts of an incarnation that it is gone.
    pub fn gone(&self, incarnation: Incarnation) {
        self.for_each(|ticket, flight| {
            if ticket.incarnation == incarnation {
                let _ = flight.words.try_send(Word::AgentGone(incarnation));
            }
        });
    }

    fn for_each(&self, visit: impl Fn(&Ticket, &Flight)) {
        for shard in self.shards.iter() {
            for (ticket, flight) in shard.lock().iter() {
                visit(ticket, flight);
            }
        }
    }

    fn shard(&self, ticket: Ticket) -> &Mutex<HashMap<Ticket, Flight>> {
        &self.shards[(ticket.request.0 as usize) % SHARDS]
    }
}

impl Words {
    /// Enters an attempt at the agent with the link address into the table.
    pub fn expect(&mut self, ticket: Ticket, link: &str) {
        let flight = Flight {
            words: self.tx.clone(),
            link: link.to_owned(),
        };
        self.table.shard(ticket).lock().insert(ticket, flight);
        if !self.tickets.contains(&ticket) {
            self.tickets.push(ticket);
        }
    }

    /// Waits for the next word.
    pub async fn next(&self) -> Option<Word> {
        self.rx.recv().await.ok()
    }
}

impl Drop for Words {
    fn drop(&mut self) {
        for ticket in &self.tickets {
            self.table.shard(*ticket).lock().remove(ticket);
        }
    }
}
