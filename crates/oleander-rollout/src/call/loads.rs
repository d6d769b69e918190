//! Load and health of endpoints, as seen by this process.

use crate::prelude::*;
use indexmap::IndexMap;
use oleanderlock::routing::candidate::Candidate;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::endpoint_load::EndpointLoad;
use oleanderlock::routing::endpoint_pick::pick;
use oleanderlock::routing::endpoint_table::EndpointTable;
use std::cell::RefCell;
use std::rc::Rc;

/// Endpoints that are remembered; the oldest goes first.
const REMEMBERED_MAX: usize = 4096;

/// Load and health of endpoints, as seen by this process.
#[derive(Debug, Default)]
pub struct Loads {
    by_instance: RefCell<IndexMap<String, EndpointLoad>>,
}

/// Counts a call at an endpoint until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    loads: Rc<Loads>,
    instance: String,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.loads.change(&self.instance, |load| {
            load.in_flight = load.in_flight.saturating_sub(1);
        });
    }
}

impl Loads {
    /// Chooses an endpoint of a service that was not tried.
    pub fn choose(
        &self,
        endpoints: &EndpointTable,
        service: &str,
        domain: &str,
        tried: &[String],
    ) -> Option<EndpointEntry> {
        let loads = self.by_instance.borrow();
        let candidates: Vec<Candidate<'_>> = endpoints
            .ready(service)
            .map(|entry| Candidate {
                entry,
                load: loads.get(&entry.instance).copied().unwrap_or_default(),
            })
            .collect();
        pick(now(), domain, &candidates, tried, rand::random()).cloned()
    }

    /// Counts a call that begins.
    pub fn begin(self: &Rc<Self>, instance: &str) -> InFlight {
        self.change(instance, |load| load.in_flight += 1);
        InFlight {
            loads: Rc::clone(self),
            instance: instance.to_owned(),
        }
    }

    /// Notes what became of a call.
    pub fn change(&self, instance: &str, change: impl FnOnce(&mut EndpointLoad)) {
        let mut all = self.by_instance.borrow_mut();
        if !all.contains_key(instance) && all.len() >= REMEMBERED_MAX {
            all.shift_remove_index(0);
        }
        change(all.entry(instance.to_owned()).or_default());
    }
}
