//! Gates in front of services, at which requests of workspaces wait while a service is full.

use crate::prelude::*;
use oleanderlock::workspaces::fair_queue::LaneName;
use oleanderlock::workspaces::service_gate::{
    Arrival, GateEnd, GateRequest, RETRY_PAUSE, ServiceGate,
};
use smol::channel::{Sender, bounded};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

/// Rank of requests whose workspace has none.
const RANK_DEFAULT: u32 = 5;

/// Gates in front of services, by service.
#[derive(Debug, Default)]
pub struct Gates {
    by_service: RefCell<HashMap<String, Rc<Gate>>>,
    next_ticket: Cell<u64>,
}

#[derive(Debug, Default)]
struct Gate {
    state: RefCell<ServiceGate>,
    // Requests that wait, by ticket.
    waiting: RefCell<HashMap<u64, Waiter>>,
    ticking: Cell<bool>,
}

/// How a request that waits learns that it is sent.
#[derive(Debug)]
struct Waiter {
    sent: Rc<Cell<bool>>,
    wake: Sender<()>,
}

/// A request at a gate; one that is dropped no longer waits, and has ended if it was sent.
#[derive(Debug)]
pub struct GatePass {
    gate: Rc<Gate>,
    request: GateRequest,
    sent: Rc<Cell<bool>>,
}

/// Why a request doesn't pass a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateRefusal {
    /// Time in which what waits is expected to be served.
    pub empty_after: Millis,
}

impl Gates {
    fn gate(&self, service: &str) -> Rc<Gate> {
        let mut gates = self.by_service.borrow_mut();
        Rc::clone(gates.entry(service.to_owned()).or_default())
    }

    /// Waits until a request of a workspace may be sent to a service.
    ///
    /// # Errors
    ///
    /// It can't be served by its deadline.
    pub async fn pass(
        &self,
        service: &str,
        workspace: LaneName,
        rank: Option<u32>,
        deadline: Millis,
    ) -> Result<GatePass, GateRefusal> {
        let gate = self.gate(service);
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        let pass = GatePass {
            gate,
            request: GateRequest {
                ticket,
                workspace,
                rank: rank.unwrap_or(RANK_DEFAULT),
                deadline,
            },
            sent: Rc::default(),
        };
        let arrival = pass.gate.state.borrow_mut().arrive(now(), &pass.request);
        match arrival {
            Arrival::Start => pass.sent.set(true),
            Arrival::Refuse { empty_after } => return Err(GateRefusal { empty_after }),
            Arrival::Wait => pass.wait().await?,
        }
        Ok(pass)
    }
}

impl GatePass {
    /// Waits again, before the other requests of the workspace, as all endpoints are full.
    ///
    /// # Errors
    ///
    /// The deadline has passed.
    pub async fn wait_again(&self) -> Result<(), GateRefusal> {
        self.end(GateEnd::Full);
        self.gate.state.borrow_mut().wait_again(&self.request);
        self.wait().await
    }

    /// Records that the request has been served for this time.
    pub fn served(&self, took: Millis) {
        self.end(GateEnd::Served(took));
    }

    async fn wait(&self) -> Result<(), GateRefusal> {
        let (wake, rx) = bounded(1);
        let waiter = Waiter {
            sent: Rc::clone(&self.sent),
            wake,
        };
        let ticket = self.request.ticket;
        self.gate.waiting.borrow_mut().insert(ticket, waiter);
        self.gate.start_ticking();
        let left = self.request.deadline.since(now());
        if matches!(within(left, rx.recv()).await, Some(Ok(()))) {
            return Ok(());
        }
        Err(GateRefusal {
            empty_after: RETRY_PAUSE,
        })
    }

    fn end(&self, end: GateEnd) {
        if self.sent.replace(false) {
            let workspace = &self.request.workspace;
            self.gate.state.borrow_mut().end(now(), workspace, end);
            self.gate.start_next();
        }
    }
}

impl Drop for GatePass {
    fn drop(&mut self) {
        self.end(GateEnd::Other);
        let ticket = self.request.ticket;
        if self.gate.waiting.borrow_mut().remove(&ticket).is_some() {
            self.gate.state.borrow_mut().cancel(&self.request);
        }
    }
}

impl Gate {
    /// Lets requests that wait pass as far as they may.
    fn start_next(&self) {
        loop {
            let next = self.state.borrow_mut().next(now());
            let Some(ticket) = next else {
                return;
            };
            let waiting = self.waiting.borrow_mut().remove(&ticket);
            if let Some(waiter) = waiting {
                waiter.sent.set(true);
                // The receiver is dropped only together with the pass, which is in the map.
                let _ = waiter.wake.try_send(());
            }
        }
    }

    /// Lets requests pass at an interval as long as any waits: a pause after a refusal ends by time.
    fn start_ticking(self: &Rc<Self>) {
        if self.ticking.replace(true) {
            return;
        }
        let gate = Rc::clone(self);
        spawn(async move {
            while !gate.waiting.borrow().is_empty() {
                sleep(RETRY_PAUSE).await;
                gate.start_next();
            }
            gate.ticking.set(false);
        });
    }
}
