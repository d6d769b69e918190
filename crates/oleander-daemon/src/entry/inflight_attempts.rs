//! The attempts in flight at an entry, and the requests that receive their events.

use crate::entry::attempt_event::AttemptEvent;
use crate::prelude::*;
use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;

/// Locks among which the table is split.
const SHARDS: usize = 16;

struct InflightAttempt {
    events: Sender<AttemptEvent>,
    /// Link address of the agent.
    link: String,
}

/// The table of attempts in flight; cheap to clone.
///
/// Bounded by the requests in flight, each of which keeps its latest attempts only.
#[derive(Clone, Default)]
pub struct InflightAttempts {
    shards: Arc<[Mutex<HashMap<Ticket, InflightAttempt>>; SHARDS]>,
}

/// The receiver of the events of one request; its attempts leave the table when it is dropped.
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

    /// Delivers an event to the request of the attempt; returns false if the attempt is not in the
    /// table or its request has ended.
    pub fn deliver(&self, ticket: Ticket, event: AttemptEvent) -> bool {
        let shard = self.shard(ticket).lock();
        let Some(flight) = shard.get(&ticket) else {
            return false;
        };
        flight.events.try_send(event).is_ok()
    }

    /// Delivers [`AttemptEvent::Disconnected`] to all attempts at the agent with this link address.
    pub fn on_link_down(&self, link: &str) {
        self.for_each(|ticket, flight| {
            if flight.link == link {
                let _ = flight.events.try_send(AttemptEvent::Disconnected(*ticket));
            }
        });
    }

    /// Delivers [`AttemptEvent::AgentGone`] to all attempts of an incarnation.
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
    /// Enters an attempt at the agent with this link address into the table; a ticket that is
    /// registered again replaces its entry.
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

    /// Waits for the next event.
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
