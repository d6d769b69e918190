//! How recent this process's copy of the endpoint list is.

use super::confirmation::Confirmation;
use crate::prelude::*;
use oleanderlock::routing::list_age::ListAgeLimits;

/// How recent this process's copy of the endpoint list is, shared between its threads; cheap to clone.
#[derive(Clone, Debug)]
pub struct EndpointFreshness {
    /// When the copy was last known to be the list.
    pub confirmation: Confirmation,
    /// Limits on its age.
    pub limits: ListAgeLimits,
}

impl EndpointFreshness {
    /// Returns the freshness of a copy that was never confirmed; `leave_within` is the time within
    /// which an endpoint that is leaving must get no more requests.
    pub fn new(leave_within: Millis) -> Self {
        Self {
            confirmation: Confirmation::default(),
            limits: ListAgeLimits::new(leave_within),
        }
    }

    /// Whether a copy that was last known to be the list at `confirmed_at` may replace this one.
    pub fn takes(&self, confirmed_at: Option<Millis>) -> bool {
        let age = confirmed_at.map_or(Millis::MAX, |at| now().since(at));
        age <= self.limits.take_age() || confirmed_at >= self.confirmation.at()
    }

    /// Whether the copy is so old that this process must read the list itself.
    pub fn is_stale(&self) -> bool {
        self.confirmation.age() >= self.limits.max_age()
    }
}
