//! Even choice of endpoints, with what this process has learned from its calls.

use super::attempt_outcome::AttemptOutcome;
use super::caller_identity::CallerIdentity;
use super::caller_role::CallerRole;
use super::request_kind::RequestKind;
use crate::observe::metrics::Metrics;
use crate::prelude::*;
use indexmap::IndexMap;
use oleanderlock::routing::caller_rank::CallerRank;
use oleanderlock::routing::candidate::Candidate;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::even_caller::EvenCaller;
use oleanderlock::routing::even_candidate::EvenCandidate;
use oleanderlock::routing::even_choice::even_choice;
use oleanderlock::routing::even_endpoint::EvenEndpoint;
use oleanderlock::routing::even_pick::EvenPick;
use oleanderlock::routing::even_reason::EvenReason;
use oleanderlock::routing::even_service::EvenService;
use std::cell::{Cell, RefCell};

/// Most services whose endpoints are remembered; the one that was added first is removed first.
const SERVICES_MAX: usize = 1024;
/// Time for which further ordinary choices are not logged after one.
const TURN_LOG_INTERVAL: Millis = Millis(1000);

/// Even choice of endpoints, with what this process has learned from its calls, by service.
#[derive(Debug)]
pub struct EvenLoads {
    by_service: RefCell<IndexMap<String, EvenService>>,
    identity: CallerIdentity,
    metrics: Metrics,
    turn_logged_at: Cell<Millis>,
}

impl EvenLoads {
    /// Returns the state of a process that has made no calls.
    pub fn new(identity: CallerIdentity, metrics: Metrics) -> Self {
        Self {
            by_service: RefCell::default(),
            identity,
            metrics,
            turn_logged_at: Cell::default(),
        }
    }

    /// Chooses one of `candidates` whose instance is not in `tried`, for a request of `kind` with
    /// this id; `None` if there is none. `connected` tells whether there is an idle connection to an
    /// endpoint.
    pub(super) fn choose<'a>(
        &self,
        candidates: Vec<Candidate<'a>>,
        tried: &[String],
        rank: Option<CallerRank>,
        connected: impl Fn(&EndpointEntry) -> bool,
        (kind, id): (RequestKind, &str),
    ) -> Option<&'a EndpointEntry> {
        let service = &candidates.first()?.entry.service;
        let candidates: Vec<EvenCandidate<'a>> = candidates
            .iter()
            .map(|candidate| EvenCandidate {
                candidate: *candidate,
                connected: connected(candidate.entry),
            })
            .collect();
        let caller = self.caller(rank);
        let mut all = self.by_service.borrow_mut();
        if !all.contains_key(service) && all.len() >= SERVICES_MAX {
            all.shift_remove_index(0);
        }
        let known = all.entry(service.clone()).or_default();
        let domain = &self.identity.domain;
        let draw = rand::random();
        let pick = even_choice(known, now(), domain, caller, &candidates, tried, draw)?;
        self.record_pick(&pick, kind, id);
        Some(pick.entry)
    }

    /// Records that a call is sent.
    pub(super) fn record_start(&self, endpoint: &EndpointEntry) {
        self.update(endpoint, |known| known.record_start(now()));
    }

    /// Records the outcome of a call.
    pub(super) fn record_outcome(
        &self,
        endpoint: &EndpointEntry,
        took: Millis,
        outcome: &AttemptOutcome,
    ) {
        self.update(endpoint, |known| match outcome {
            AttemptOutcome::Answer(_) => known.record_answer(took, now()),
            AttemptOutcome::NotRun("full") => known.record_full(now()),
            // The endpoint is avoided, or no longer a candidate.
            AttemptOutcome::NotRun(_) => {}
            AttemptOutcome::Failure(_)
            | AttemptOutcome::Lost(_)
            | AttemptOutcome::Unusable(_)
            | AttemptOutcome::Crashed => known.record_failure(),
        });
    }

    /// Records that a call has ended, with `in_flight` calls remaining. `waited` is the time that it
    /// took if it was abandoned without an outcome.
    pub(super) fn record_end(
        &self,
        endpoint: &EndpointEntry,
        in_flight: usize,
        waited: Option<Millis>,
    ) {
        self.update(endpoint, |known| match waited {
            // Silence goes on: other calls may wait for the endpoint too.
            Some(waited) => {
                known.record_abandoned(waited, now());
                if in_flight == 0 {
                    known.record_end(0, now());
                }
            }
            None => known.record_end(in_flight, now()),
        });
    }

    fn update(&self, endpoint: &EndpointEntry, update: impl FnOnce(&mut EvenEndpoint)) {
        let mut all = self.by_service.borrow_mut();
        if let Some(service) = all.get_mut(&endpoint.service) {
            service.update(&endpoint.instance, update);
        }
    }

    /// Returns the place of this process among those of its role.
    fn caller(&self, rank: Option<CallerRank>) -> EvenCaller {
        rank.map_or_else(EvenCaller::default, |rank| EvenCaller {
            callers: match self.identity.role {
                CallerRole::Entry => rank.entries,
                CallerRole::Agent => rank.agents,
            },
            index: rank.index,
        })
    }

    /// Counts a choice by its reason, and logs it; of those that are simply a turn, one a second.
    fn record_pick(&self, pick: &EvenPick<'_>, kind: RequestKind, id: &str) {
        let reason = pick.reason;
        self.metrics.count_event(&format!("chosen-{reason}"));
        if let Some(age) = pick.age {
            self.metrics.record_latency("choice-age", age);
        }
        if matches!(reason, EvenReason::Turn | EvenReason::Connected) {
            if now().since(self.turn_logged_at.get()) < TURN_LOG_INTERVAL {
                return;
            }
            self.turn_logged_at.set(now());
        }
        event(log::Level::Info, "endpoint-chosen", || {
            let age = pick.age.map_or("none".to_owned(), |age| age.to_string());
            let instance = &pick.entry.instance;
            let candidates = pick.candidates;
            format!(
                "request={id} kind={kind} instance={instance} candidates={candidates} age={age} \
                 reason={reason}"
            )
        });
    }
}
