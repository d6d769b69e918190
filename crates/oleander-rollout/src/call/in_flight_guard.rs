//! Counts calls in flight.

use super::endpoint_loads::EndpointLoads;
use std::rc::Rc;

/// Counts a call as in flight at an endpoint until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    pub(super) loads: Rc<EndpointLoads>,
    pub(super) instance: String,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.loads.update(&self.instance, |load| {
            load.in_flight = load.in_flight.saturating_sub(1);
        });
    }
}
