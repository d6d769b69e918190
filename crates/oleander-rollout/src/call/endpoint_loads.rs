//! Load and health of endpoints, as measured by the calls of this process.

use super::even_loads::EvenLoads;
use super::in_flight_guard::InFlightGuard;
use crate::prelude::*;
use indexmap::IndexMap;
use oleanderlock::routing::candidate::Candidate;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::endpoint_load::EndpointLoad;
use oleanderlock::routing::endpoint_pick::pick;
use std::cell::RefCell;
use std::rc::Rc;

/// Most endpoints whose load is kept; the one that was added first is removed first.
const ENDPOINTS_MAX: usize = 4096;

/// Load and health of endpoints, as measured by the calls of this process.
#[derive(Debug, Default)]
pub struct EndpointLoads {
    by_instance: RefCell<IndexMap<String, EndpointLoad>>,
    // `None` without even load.
    pub(super) even: Option<EvenLoads>,
}

impl EndpointLoads {
    /// Returns loads without any calls; `even` chooses endpoints for calls if it is given.
    pub fn new(even: Option<EvenLoads>) -> Self {
        Self {
            by_instance: RefCell::default(),
            even,
        }
    }

    /// Chooses one of `endpoints`, each with the time that a call has to wait for its rate limit,
    /// whose instance is not in `tried`; `None` if there is none.
    pub fn choose<'a>(
        &self,
        endpoints: impl Iterator<Item = (&'a EndpointEntry, Millis)>,
        domain: &str,
        tried: &[String],
    ) -> Option<EndpointEntry> {
        let candidates = self.candidates(endpoints);
        pick(now(), domain, &candidates, tried, rand::random()).cloned()
    }

    /// Returns the candidates for a choice with their loads.
    pub(super) fn candidates<'a>(
        &self,
        endpoints: impl Iterator<Item = (&'a EndpointEntry, Millis)>,
    ) -> Vec<Candidate<'a>> {
        let loads = self.by_instance.borrow();
        endpoints
            .map(|(entry, limit_delay)| Candidate {
                entry,
                limit_delay,
                load: loads.get(&entry.instance).copied().unwrap_or_default(),
            })
            .collect()
    }

    /// Counts a call to an endpoint as in flight until the returned guard is dropped.
    pub fn start_call(self: &Rc<Self>, endpoint: &EndpointEntry) -> InFlightGuard {
        self.update(&endpoint.instance, |load| load.in_flight += 1);
        if let Some(even) = &self.even {
            even.record_start(endpoint);
        }
        InFlightGuard {
            loads: Rc::clone(self),
            endpoint: endpoint.clone(),
            started_at: now(),
            ended: false,
        }
    }

    /// Returns the number of calls in flight at an endpoint.
    pub(super) fn in_flight(&self, instance: &str) -> usize {
        let loads = self.by_instance.borrow();
        loads.get(instance).map_or(0, |load| load.in_flight)
    }

    /// Updates the load of an endpoint; one without calls so far has the default load.
    pub fn update(&self, instance: &str, update: impl FnOnce(&mut EndpointLoad)) {
        let mut all = self.by_instance.borrow_mut();
        if !all.contains_key(instance) && all.len() >= ENDPOINTS_MAX {
            all.shift_remove_index(0);
        }
        update(all.entry(instance.to_owned()).or_default());
    }
}
