//! Decision which requests of workspaces are sent to a service, as one process sees it.
//!
//! Load pattern: many entries share the endpoints of a service, and each sees only its own calls. What
//! it sees of a full service are refusals. They bound the calls that it has under way, and what is
//! above the bound waits in a fair queue; without refusals, nothing waits.

use super::fair_queue::{FairQueue, LaneName, WaitingRequest};
use crate::prelude::*;
use indexmap::IndexMap;

/// Part of the calls under way that a refusal leaves as bound.
const LOWER_FACTOR: f64 = 0.75;
/// Time within which refusals lower the bound only once, as they have one cause.
const LOWER_INTERVAL: Millis = Millis(100);
/// Time after a refusal in which no request that waits is sent: a slot becomes free about that often.
pub const RETRY_PAUSE: Millis = Millis(20);
/// Time without a refusal after which the service is not full any more.
const FULL_TIME: Millis = Millis(2000);
/// Service time of a workspace that had no answer yet.
const COST_DEFAULT: Millis = Millis(50);
/// Weight of the newest answer in the mean service time, as `1 / COST_ANSWERS`.
const COST_ANSWERS: u64 = 8;
/// Most workspaces whose mean service time is kept.
const WORKSPACES_MAX: usize = 4096;

/// A request that is to be sent.
#[derive(Clone, Debug)]
pub struct GateRequest {
    /// Number that no other request has.
    pub ticket: u64,
    /// Workspace of the client.
    pub workspace: LaneName,
    /// Priority; 0 is the most urgent.
    pub rank: u32,
    /// Point in time after which the client no longer waits.
    pub deadline: Millis,
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It is sent at once.
    Start,
    /// It waits until [`ServiceGate::next`] returns its ticket.
    Wait,
    /// It can't be served in time; what waits is expected to be served after `empty_after`.
    Refuse {
        /// Time in which the queue empties.
        empty_after: Millis,
    },
}

/// How a request that was sent has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateEnd {
    /// It has used a slot for this time.
    Served(Millis),
    /// All endpoints that could take it have refused it as full.
    Full,
    /// Neither is known.
    Other,
}

/// Bound on the calls of one process to one service, and the requests that wait for it.
#[derive(Clone, Debug, Default)]
pub struct ServiceGate {
    queue: FairQueue,
    // `None` while the service is not full.
    bound: Option<f64>,
    running: usize,
    lowered_at: Option<Millis>,
    refused_at: Millis,
    costs: IndexMap<LaneName, Millis>,
}

impl ServiceGate {
    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Whether the service is full, as this process sees it.
    pub fn is_full(&self, now: Millis) -> bool {
        let bound = self.current_bound(now);
        bound.is_some_and(|bound| self.running >= bound as usize)
    }

    fn current_bound(&self, now: Millis) -> Option<f64> {
        let recent = now.since(self.refused_at) < FULL_TIME || !self.queue.is_empty();
        self.bound.filter(|_| recent)
    }

    /// Returns the expected service time of a request of a workspace.
    pub fn cost_of(&self, workspace: &LaneName) -> Millis {
        self.costs.get(workspace).copied().unwrap_or(COST_DEFAULT)
    }

    /// Decides what becomes of a request that arrives.
    pub fn arrive(&mut self, now: Millis, request: &GateRequest) -> Arrival {
        if self.queue.is_empty() && !self.is_full(now) {
            self.running += 1;
            return Arrival::Start;
        }
        let cost = self.cost_of(&request.workspace);
        let pace = self.current_bound(now).unwrap_or(1.0).max(1.0);
        let after = |cost: Millis| Millis((cost.0 as f64 / pace) as u64);
        let ahead = self
            .queue
            .cost_ahead(request.rank, &request.workspace, cost);
        if now.plus(after(ahead)).plus(cost) > request.deadline {
            let empty_after = after(self.queue.cost().plus(cost));
            return Arrival::Refuse { empty_after };
        }
        let waiting = WaitingRequest {
            ticket: request.ticket,
            cost,
        };
        self.queue.push(request.rank, &request.workspace, waiting);
        Arrival::Wait
    }

    /// Returns the ticket of the next request that waits, if it may be sent now.
    pub fn next(&mut self, now: Millis) -> Option<u64> {
        let pauses = self.bound.is_some() && now.since(self.refused_at) < RETRY_PAUSE;
        if pauses || self.is_full(now) {
            return None;
        }
        let request = self.queue.pop()?;
        self.running += 1;
        Some(request.ticket)
    }

    /// Records the end of a request that was sent.
    pub fn end(&mut self, now: Millis, workspace: &LaneName, end: GateEnd) {
        let under_way = self.running;
        self.running = self.running.saturating_sub(1);
        match end {
            GateEnd::Served(took) => {
                self.record_cost(workspace, took);
                self.bound = self.bound.map(|bound| bound + 1.0 / bound);
            }
            GateEnd::Full => self.record_full(now, under_way),
            GateEnd::Other => {}
        }
    }

    /// Makes a request that was refused as full wait again, before the others of its workspace.
    pub fn wait_again(&mut self, request: &GateRequest) {
        let waiting = WaitingRequest {
            ticket: request.ticket,
            cost: self.cost_of(&request.workspace),
        };
        self.queue
            .put_back(request.rank, &request.workspace, waiting);
    }

    /// Removes a request that waits; returns whether it was there.
    pub fn cancel(&mut self, request: &GateRequest) -> bool {
        self.queue
            .remove(request.rank, &request.workspace, request.ticket)
    }

    fn record_full(&mut self, now: Millis, under_way: usize) {
        let known = self.current_bound(now);
        self.refused_at = now;
        let recent = |at: Millis| now.since(at) < LOWER_INTERVAL;
        if known.is_some() && self.lowered_at.is_some_and(recent) {
            return;
        }
        self.lowered_at = Some(now);
        let held = known.unwrap_or(f64::MAX).min(under_way as f64);
        self.bound = Some((held * LOWER_FACTOR).max(1.0));
    }

    fn record_cost(&mut self, workspace: &LaneName, took: Millis) {
        if !self.costs.contains_key(workspace) && self.costs.len() >= WORKSPACES_MAX {
            self.costs.shift_remove_index(0);
        }
        let mean = self.costs.entry(workspace.clone()).or_insert(took);
        let sum = mean.0 * (COST_ANSWERS - 1) + took.0;
        *mean = Millis((sum / COST_ANSWERS).max(1));
    }
}
