//! Calls to services by failure domain, for orders of endpoints.

use super::demand_guard::DemandGuard;
use oleanderlock::duties::service_demand::ServiceDemand;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Calls of this process to services by failure domain, for orders of endpoints.
#[derive(Debug, Default)]
pub struct Demand {
    enabled: Cell<bool>,
    services: RefCell<Vec<ServiceDemand>>,
}

impl Demand {
    /// Starts to count; before, calls cost nothing.
    pub fn enable(&self) {
        self.enabled.set(true);
    }

    /// Counts a call to an endpoint until the returned guard is dropped; `None` if calls are not
    /// counted.
    pub fn start(self: &Rc<Self>, endpoint: &EndpointEntry) -> Option<DemandGuard> {
        if !self.enabled.get() {
            return None;
        }
        let mut services = self.services.borrow_mut();
        let mut known = services.iter();
        let known =
            known.position(|one| one.service == endpoint.service && one.domain == endpoint.domain);
        let index = known.unwrap_or(services.len());
        if known.is_none() {
            services.push(ServiceDemand {
                service: endpoint.service.clone(),
                domain: endpoint.domain.clone(),
                ..ServiceDemand::default()
            });
        }
        services[index].started += 1;
        Some(DemandGuard::new(Rc::clone(self), index))
    }

    /// Returns the calls so far.
    pub fn get(&self) -> Vec<ServiceDemand> {
        self.services.borrow().clone()
    }

    /// Updates the demand with this index.
    pub(super) fn update(&self, index: usize, update: impl FnOnce(&mut ServiceDemand)) {
        if let Some(demand) = self.services.borrow_mut().get_mut(index) {
            update(demand);
        }
    }
}
