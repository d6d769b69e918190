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
pub enum AttemptEvent {
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

struct InflightAttempt {
    events: Sender<AttemptEvent>,
    link: String,
}

/// The table of attempts in flight; cheap to clone.
///
/// Bounded by the requests in flight, each of which keeps its latest attempts only.
#[derive(Clone, Default)]
pub struct InflightAttempts {
    shards: Arc<[Mutex<HashMap<Ticket, InflightAttempt>>; SHARDS]>,
}

/// The words for one request; its attempts leave the table when this is dropped.
pub struct AttemptEvents {
    table: InflightAttempts,
    tx: Sender<AttemptEvent>,
    rx: Receiver<AttemptEvent>,
    tickets: Vec<Ticket>,
}

impl InflightAttempts {
    /// Opens a receiver for one request.
    pub fn open(&self) -> AttemptEvents {
        let (tx, rx) = async_channel::unbounded();
        AttemptEvents {
            table: self.clone(),
            tx,
            rx,
            tickets: Vec::new(),
        }
    }

    /// Hands a word to the request that waits for it; returns whether there was one.
    pub fn deliver(&self, ticket: Ticket, word: AttemptEvent) -> bool {
        let shard = self.shard(ticket).lock();
        let Some(flight) = shard.get(&ticket) else {
            return false;
        };
        flight.events.try_send(word).is_ok()
    }

    /// Tells all attempts at `link` that the connection broke.
    pub fn on_link_down(&self, link: &str) {
        self.for_each(|ticket, flight| {
            if flight.link == link {
                let _ = flight.events.try_send(AttemptEvent::Disconnected(*ticket));
            }
        });
    }

    /// Tells all attempts of an incarnation that it is gone.
    pub fn on_agent_gone(&self, incarnation: Incarnation) {
        self.for_each(|ticket, flight| {
            if ticket.incarnation == incarnation {
                let _ = flight.events.try_send(AttemptEvent::AgentGone(incarnation));
            }
        });
    }

    fn for_each(&self, visit: impl Fn(&Ticket, &InflightAttempt)) {
        for shard in self.shards.iter() {
            for (ticket, flight) in shard.lock().iter() {
                visit(ticket, flight);
            }
        }
    }

    fn shard(&self, ticket: Ticket) -> &Mutex<HashMap<Ticket, InflightAttempt>> {
        &self.shards[(ticket.request.0 as usize) % SHARDS]
    }
}

impl AttemptEvents {
    /// Enters an attempt at the agent with the link address into the table.
    pub fn register(&mut self, ticket: Ticket, link: &str) {
        let flight = InflightAttempt {
            events: self.tx.clone(),
            link: link.to_owned(),
        };
        self.table.shard(ticket).lock().insert(ticket, flight);
        if !self.tickets.contains(&ticket) {
            self.tickets.push(ticket);
        }
    }

    /// Waits for the next word.
    pub async fn next(&self) -> Option<AttemptEvent> {
        self.rx.recv().await.ok()
    }
}

impl Drop for AttemptEvents {
    fn drop(&mut self) {
        for ticket in &self.tickets {
            self.table.shard(*ticket).lock().remove(ticket);
        }
    }
}
