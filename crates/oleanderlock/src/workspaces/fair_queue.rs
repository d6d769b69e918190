//! Queue of requests that shares what is short among workspaces.
//!
//! Load pattern: a few of many workspaces ask for more than all there is. Deficit round robin by
//! expected service time with equal weights: each workspace that waits gets the same time in each
//! round, so that one whose requests take ten times as long is served a tenth as often. More urgent
//! ranks are served first, but never alone: see [`URGENT_TURNS`].

use crate::prelude::*;
use indexmap::IndexMap;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Requests of the most urgent rank that are served for each one of the other ranks that wait, so
/// that none of these is shut out.
const URGENT_TURNS: u32 = 3;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Number of the request, chosen by the owner of the queue.
    pub ticket: u64,
    /// Expected service time.
    pub cost: Millis,
}

/// Name of a workspace; `None` for requests without one.
pub type LaneName = Option<Arc<str>>;

#[derive(Clone, Debug, Default)]
struct Lane {
    requests: VecDeque<WaitingRequest>,
    cost: u64,
    // Service time that the lane may still use in this round, in milliseconds.
    deficit: u64,
}

/// Lanes of one rank; each has a request that waits. The first one has its turn.
#[derive(Clone, Debug, Default)]
struct Round {
    lanes: IndexMap<LaneName, Lane>,
    order: VecDeque<LaneName>,
}

/// Queue of requests that shares what is short among workspaces.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    rounds: BTreeMap<u32, Round>,
    // Requests of the most urgent rank that were served since one of another rank was.
    urgent_turns: u32,
    // Chooses among the other ranks in turn.
    other_turn: usize,
}

impl Round {
    fn cost(&self) -> u64 {
        self.lanes.values().map(|lane| lane.cost).sum()
    }

    fn len(&self) -> usize {
        self.lanes.values().map(|lane| lane.requests.len()).sum()
    }

    fn lane(&mut self, name: &LaneName) -> &mut Lane {
        if !self.lanes.contains_key(name) {
            self.order.push_back(name.clone());
        }
        self.lanes.entry(name.clone()).or_default()
    }

    fn pop(&mut self) -> Option<WaitingRequest> {
        // The mean cost: a larger quantum would serve whole bursts of short requests at a time.
        let quantum = (self.cost() / self.len().max(1) as u64).max(1);
        loop {
            let name = self.order.front()?.clone();
            let lane = self.lanes.get_mut(&name)?;
            let request = *lane.requests.front()?;
            if lane.deficit < request.cost.0 {
                lane.deficit += quantum;
                self.order.rotate_left(1);
                continue;
            }
            lane.deficit -= request.cost.0;
            lane.cost -= request.cost.0;
            lane.requests.pop_front();
            if lane.requests.is_empty() {
                self.remove_lane(&name);
            }
            return Some(request);
        }
    }

    fn remove_lane(&mut self, name: &LaneName) {
        self.lanes.swap_remove(name);
        self.order.retain(|other| other != name);
    }
}

impl FairQueue {
    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.rounds.is_empty()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.rounds.values().map(Round::len).sum()
    }

    /// Returns the expected service time of all requests that wait.
    pub fn cost(&self) -> Millis {
        Millis(self.rounds.values().map(Round::cost).sum())
    }

    /// Appends a request to the lane of its workspace.
    pub fn push(&mut self, rank: u32, name: &LaneName, request: WaitingRequest) {
        let lane = self.rounds.entry(rank).or_default().lane(name);
        lane.cost += request.cost.0;
        lane.requests.push_back(request);
    }

    /// Puts a request back that [`Self::pop`] has returned and that could not be served; it is the
    /// next one of its workspace, and has not used up its turn.
    pub fn put_back(&mut self, rank: u32, name: &LaneName, request: WaitingRequest) {
        let lane = self.rounds.entry(rank).or_default().lane(name);
        lane.cost += request.cost.0;
        lane.deficit += request.cost.0;
        lane.requests.push_front(request);
    }

    /// Removes and returns the request that is to be served next.
    pub fn pop(&mut self) -> Option<WaitingRequest> {
        let urgent = *self.rounds.keys().next()?;
        let others: Vec<u32> = self.rounds.keys().skip(1).copied().collect();
        let rank = if !others.is_empty() && self.urgent_turns >= URGENT_TURNS {
            self.urgent_turns = 0;
            self.other_turn = self.other_turn.wrapping_add(1);
            others[self.other_turn % others.len()]
        } else {
            self.urgent_turns += 1;
            urgent
        };
        let round = self.rounds.get_mut(&rank)?;
        let request = round.pop();
        if round.lanes.is_empty() {
            self.rounds.remove(&rank);
        }
        request
    }

    /// Removes a request whose client no longer waits; returns whether it was there.
    pub fn remove(&mut self, rank: u32, name: &LaneName, ticket: u64) -> bool {
        let Some(round) = self.rounds.get_mut(&rank) else {
            return false;
        };
        let Some(lane) = round.lanes.get_mut(name) else {
            return false;
        };
        let position = lane
            .requests
            .iter()
            .position(|other| other.ticket == ticket);
        let Some(request) = position.and_then(|position| lane.requests.remove(position)) else {
            return false;
        };
        lane.cost -= request.cost.0;
        if lane.requests.is_empty() {
            round.remove_lane(name);
        }
        if round.lanes.is_empty() {
            self.rounds.remove(&rank);
        }
        true
    }

    /// Returns the expected service time of all requests that are served before a further one of a
    /// workspace: as much of each other lane of its rank as its own lane has, and all of the ranks
    /// before it.
    pub fn cost_ahead(&self, rank: u32, name: &LaneName, cost: Millis) -> Millis {
        let before = self.rounds.range(..rank).map(|(_, round)| round.cost());
        let before: u64 = before.sum();
        let Some(round) = self.rounds.get(&rank) else {
            return Millis(before);
        };
        let own = round.lanes.get(name).map_or(0, |lane| lane.cost);
        let others = round.lanes.iter().filter(|(other, _)| *other != name);
        let others: u64 = others.map(|(_, lane)| lane.cost.min(own + cost.0)).sum();
        Millis(before + own + others)
    }
}
