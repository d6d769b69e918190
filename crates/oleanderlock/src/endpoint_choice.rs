//! Choice of an endpoint for each attempt, at an entry.
//!
//! The entry's view of the load lags, so the agent's admission control may still refuse the
//! attempt. Work with a prompt prefix is placed by rendezvous hashing with bounded load (Mirrokni,
//! Thorup and Zadimoghaddam 2016); other work goes to the less loaded of two random endpoints,
//! nearer ones first.

use crate::affinity_score::score;
use crate::attempt_end::AttemptEnd;
use crate::choice_request::ChoiceRequest;
use crate::ejection::{EjectReason, PeerStats};
use crate::endpoint::{Endpoint, EndpointInfo, EndpointKey, EndpointReport};
use crate::endpoint_arena::EndpointArena;
use crate::load::Load;
use crate::policy::Policy;
use crate::prelude::*;
use bytes::Bytes;
use indexmap::IndexMap;

/// Configuration of an [`EndpointChoice`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChoiceConfig {
    /// How endpoints are chosen; baselines also disable ejection.
    pub policy: Policy,
}

/// A change of an endpoint's health, which the caller should report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceAction {
    /// The endpoint was ejected.
    Eject(EndpointKey, EjectReason),
}

/// The endpoints that one entry uses, and the choice among them.
///
/// Holds as many endpoints as the caller inserts: the entry's subset of the fleet.
#[derive(Clone, Debug)]
pub struct EndpointChoice {
    cfg: ChoiceConfig,
    pub(crate) arena: EndpointArena,
    /// Counter of the round-robin policies.
    turn: u64,
}

impl EndpointChoice {
    /// Creates a choice without endpoints.
    pub fn new(cfg: ChoiceConfig) -> Self {
        Self {
            cfg,
            arena: EndpointArena::default(),
            turn: 0,
        }
    }

    /// Adds an endpoint, which accepts work at once.
    pub fn insert(&mut self, now: Millis, info: EndpointInfo) -> EndpointKey {
        self.arena.insert(Endpoint::new(now, info))
    }

    /// Removes an endpoint; later calls with its key have no effect.
    pub fn remove(&mut self, key: EndpointKey) {
        self.arena.remove(key);
    }

    /// Replaces the properties of an endpoint; its measurements are kept.
    pub fn update_info(&mut self, key: EndpointKey, info: EndpointInfo) {
        if let Some(endpoint) = self.arena.get_mut(key) {
            endpoint.info = info;
        }
    }

    /// Applies a report of the endpoint's agent.
    pub fn apply_report(&mut self, now: Millis, key: EndpointKey, report: EndpointReport) {
        if let Some(endpoint) = self.arena.get_mut(key) {
            endpoint.apply_report(now, report);
        }
    }

    /// Updates the load of the endpoint, as it is sent with each answer.
    pub fn update_load(&mut self, now: Millis, key: EndpointKey, load: Load) {
        if let Some(endpoint) = self.arena.get_mut(key) {
            endpoint.update_load(now, load);
        }
    }

    /// Sets whether the agent is suspected to have failed; work is not sent to suspected agents.
    pub fn set_suspected(&mut self, key: EndpointKey, suspected: bool) {
        if let Some(endpoint) = self.arena.get_mut(key) {
            endpoint.suspected = suspected;
        }
    }

    /// Counts an attempt that was sent to the endpoint.
    pub fn record_start(&mut self, now: Millis, key: EndpointKey) {
        if let Some(endpoint) = self.arena.get_mut(key) {
            endpoint.health.record_start(now, endpoint.in_flight == 0);
            endpoint.in_flight += 1;
        }
    }

    /// Records that the endpoint produced `units` tokens in `elapsed`, without the time in its
    /// queue. A call of a plain service counts as one token.
    pub fn record_pace(&mut self, now: Millis, key: EndpointKey, elapsed: Millis, units: u64) {
        if let Some(endpoint) = self.arena.get_mut(key) {
            endpoint.health.record_pace(now, elapsed, units);
        }
    }

    /// Counts the end of an attempt.
    pub fn record_end(&mut self, now: Millis, key: EndpointKey, end: AttemptEnd) {
        if let Some(endpoint) = self.arena.get_mut(key) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            match end {
                AttemptEnd::Finished => endpoint.health.record_progress(now),
                AttemptEnd::Failed => endpoint.health.record_failure(),
                AttemptEnd::Refused | AttemptEnd::Cancelled => {}
            }
        }
    }

    /// Ejects endpoints that perform much worse than others of their target. Must be called a few
    /// times a second.
    pub fn tick(&mut self, now: Millis) -> Vec<ChoiceAction> {
        if self.cfg.policy != Policy::Product {
            return Vec::new();
        }
        let mut groups = self.peers(now);
        let mut actions = Vec::new();
        let keys: Vec<EndpointKey> = self.arena.keys().collect();
        for key in keys {
            let Some(endpoint) = self.arena.get_mut(key) else {
                continue;
            };
            endpoint.health.reset_old_ejections(now);
            let group = groups.get_mut(&endpoint.info.targets.first().cloned().unwrap_or_default());
            if let Some(reason) = group.and_then(|peers| peers.eject(now, endpoint)) {
                endpoint.health.eject(now);
                actions.push(ChoiceAction::Eject(key, reason));
            }
        }
        actions
    }

    /// Chooses the endpoint for an attempt; `None` if none that serves the target accepts work.
    pub fn choose(&mut self, now: Millis, req: &ChoiceRequest) -> Option<EndpointKey> {
        let usable = self.usable(req);
        match self.cfg.policy {
            Policy::Product => self.choose_best(now, req, usable),
            Policy::Random => pick(&usable, req.draw),
            Policy::RoundRobin | Policy::Naive => {
                self.turn += 1;
                pick(&usable, self.turn)
            }
            Policy::LeastOutstanding => self.least_outstanding(req, &usable),
        }
    }

    /// Returns whether an endpoint outside of `excluded` accepts work for the target.
    pub fn has_candidate(&self, target: &[u8], excluded: &[EndpointKey]) -> bool {
        let mut others = self.arena.keys().filter(|key| !excluded.contains(key));
        others.any(|key| self.endpoint(key).accepts_work() && self.endpoint(key).serves(target))
    }

    /// Returns the newest weight version of the endpoints that accept work for the target.
    pub fn newest_version(&self, target: &[u8]) -> Option<Version> {
        let usable = self.arena.endpoints();
        let usable = usable.filter(|it| it.accepts_work() && it.serves(target));
        usable.filter_map(|endpoint| endpoint.version).max()
    }

    /// Returns the number of this entry's attempts in flight at the endpoint.
    pub fn in_flight(&self, key: EndpointKey) -> u32 {
        self.arena.get(key).map_or(0, |endpoint| endpoint.in_flight)
    }

    /// Returns whether the endpoint is ejected now.
    pub fn is_ejected(&self, now: Millis, key: EndpointKey) -> bool {
        self.arena
            .get(key)
            .is_some_and(|endpoint| endpoint.health.is_ejected(now))
    }

    /// Returns the shortest expected wait of the endpoints that accept work for the target.
    pub fn shortest_wait(&self, now: Millis, target: &[u8]) -> Option<Millis> {
        let serving = self
            .arena
            .endpoints()
            .filter(|endpoint| endpoint.accepts_work() && endpoint.serves(target));
        serving.map(|endpoint| endpoint.wait(now)).min()
    }

    fn usable(&self, req: &ChoiceRequest) -> Vec<EndpointKey> {
        let is_usable = |key: &EndpointKey| {
            let endpoint = self.endpoint(*key);
            let serves = endpoint.accepts_work() && endpoint.serves(req.target);
            serves && !req.excluded.contains(key)
        };
        self.arena.keys().filter(is_usable).collect()
    }

    fn least_outstanding(
        &self,
        req: &ChoiceRequest,
        usable: &[EndpointKey],
    ) -> Option<EndpointKey> {
        let rank = |key: &&EndpointKey| {
            let endpoint = self.endpoint(**key);
            (endpoint.in_flight, score(req.draw, endpoint.info.identity))
        };
        usable.iter().min_by_key(rank).copied()
    }

    /// Collects statistics of the endpoints by their first target.
    fn peers(&self, now: Millis) -> IndexMap<Bytes, PeerStats> {
        let mut groups: IndexMap<Bytes, Vec<&Endpoint>> = IndexMap::new();
        for endpoint in self.arena.endpoints() {
            if let Some(target) = endpoint.info.targets.first() {
                groups.entry(target.clone()).or_default().push(endpoint);
            }
        }
        let peers = groups.into_iter();
        peers
            .map(|(target, group)| (target, PeerStats::new(now, &group)))
            .collect()
    }

    pub(crate) fn endpoint(&self, key: EndpointKey) -> &Endpoint {
        self.arena
            .get(key)
            .expect("the key was listed by the arena")
    }
}

/// Returns the key at a position given by a random number; `None` if there are no keys.
pub(crate) fn pick(keys: &[EndpointKey], draw: u64) -> Option<EndpointKey> {
    let position = draw.checked_rem(keys.len() as u64)?;
    keys.get(position as usize).copied()
}
