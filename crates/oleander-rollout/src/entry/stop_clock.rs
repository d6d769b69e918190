//! When a stopping entry must have answered its requests.

use crate::prelude::*;
use event_listener::Event;
use oleanderlock::routing::route::Route;
use std::cell::Cell;

/// When a stopping entry must have answered its requests.
#[derive(Debug, Default)]
pub struct StopClock {
    /// Time by which all requests are answered; `None` before the stop begins.
    answers_until: Cell<Option<Millis>>,
    /// Whether the load balancer should have detected that this entry is not ready.
    is_late: Cell<bool>,
    began: Event,
}

impl StopClock {
    /// Records that the entry stops and that all requests must be answered by `until`.
    pub fn begin(&self, until: Millis) {
        self.answers_until.set(Some(until));
        self.began.notify(usize::MAX);
    }

    /// Records that the load balancer should send no more requests.
    pub fn end_of_arrivals(&self) {
        self.is_late.set(true);
    }

    /// Whether a request that comes late in the grace period is refused, so that another entry serves it:
    /// what may be repeated unless there is time for the route's objective, anything else
    /// unless there is time until its `deadline`.
    pub fn refuses(&self, route: &Route, deadline: Millis) -> bool {
        let Some(until) = self.answers_until.get().filter(|_| self.is_late.get()) else {
            return false;
        };
        if route.is_repeatable() {
            now().plus(route.objective) > until
        } else {
            deadline > until
        }
    }

    /// Waits until the requests in flight must be answered; for good if the entry does not stop.
    pub async fn answers_due(&self) {
        loop {
            let listener = self.began.listen();
            if let Some(until) = self.answers_until.get() {
                sleep(until.since(now())).await;
                return;
            }
            listener.await;
        }
    }
}
