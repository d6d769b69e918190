//! Where an entry or agent gets its endpoints from.

use super::applied_update::AppliedUpdate;
use super::endpoint_freshness::EndpointFreshness;
use crate::prelude::*;
use std::cell::Cell;
use std::rc::Rc;

/// Shortest pause between two checks of the age of the endpoints.
const CHECK_PAUSE: Millis = Millis(50);

/// Where an entry or agent gets its endpoints from: the leading dispatcher passes its copy of the
/// platform's list on, with the time at which that was current.
#[derive(Debug)]
pub struct EndpointSource {
    freshness: EndpointFreshness,
    // Whether the endpoints are older than they may be, as last logged.
    stale: Cell<bool>,
}

impl EndpointSource {
    /// Opens a source and starts to watch the age of what it delivers.
    pub fn open(freshness: EndpointFreshness) -> Rc<Self> {
        let source = Rc::new(Self {
            freshness,
            stale: Cell::default(),
        });
        spawn(Rc::clone(&source).watch_age());
        source
    }

    /// Takes into account what the leader has sent in response to a call sent at `sent_at`.
    pub fn update(&self, sent_at: Millis, applied: &AppliedUpdate) {
        let Some(offset) = applied.endpoints_confirmed_ms else {
            return;
        };
        let confirmation = &self.freshness.confirmation;
        confirmation.record_relative(sent_at, offset);
        if !self.freshness.is_stale() && self.stale.replace(false) {
            event(log::Level::Info, "endpoints-confirmed-again", String::new);
        }
    }

    async fn watch_age(self: Rc<Self>) {
        loop {
            let age = self.freshness.confirmation.age();
            if age != Millis::MAX && self.freshness.is_stale() && !self.stale.replace(true) {
                event(log::Level::Warn, "endpoints-unconfirmed", || {
                    format!("age={age}")
                });
            }
            let max_age = self.freshness.limits.max_age();
            sleep(max_age.since(age).max(CHECK_PAUSE)).await;
        }
    }
}
