//! Counts calls in flight.

use super::attempt_outcome::AttemptOutcome;
use super::endpoint_loads::EndpointLoads;
use crate::prelude::*;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use std::rc::Rc;

/// Counts a call as in flight at an endpoint until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    pub(super) loads: Rc<EndpointLoads>,
    pub(super) endpoint: EndpointEntry,
    pub(super) started_at: Millis,
    // Whether the outcome has been recorded; the call was abandoned otherwise.
    pub(super) ended: bool,
}

impl InFlightGuard {
    /// Records the outcome of the call, which is then no longer in flight.
    pub(super) fn end(mut self, outcome: &AttemptOutcome) {
        self.ended = true;
        let took = now().since(self.started_at);
        if let Some(even) = &self.loads.even {
            even.record_outcome(&self.endpoint, took, outcome);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let instance = &self.endpoint.instance;
        self.loads.update(instance, |load| {
            load.in_flight = load.in_flight.saturating_sub(1);
        });
        if let Some(even) = &self.loads.even {
            let waited = (!self.ended).then(|| now().since(self.started_at));
            even.record_end(&self.endpoint, self.loads.in_flight(instance), waited);
        }
    }
}
