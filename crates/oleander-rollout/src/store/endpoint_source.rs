//! Where an entry or agent gets its endpoints from.

use super::applied_update::AppliedUpdate;
use super::endpoint_freshness::EndpointFreshness;
use super::gate::Gate;
use crate::prelude::*;
use std::cell::Cell;
use std::rc::Rc;

/// Shortest pause between two checks of the age of the endpoints.
const CHECK_PAUSE: Millis = Millis(100);

/// Where an entry or agent gets its endpoints from.
///
/// The leading dispatcher passes its copy of the platform's list on, with the time at which that was
/// current. While that copy is too old, because the leader is lost or has lost the store, this process
/// watches the list itself. It doesn't always do so, because each weight load changes the list, which
/// would wake the watch of every process.
#[derive(Debug)]
pub struct EndpointSource {
    freshness: EndpointFreshness,
    // Open while this process watches the list itself.
    own_watch: Gate,
    // Digest of the endpoints that the leader sent; 0 for none.
    digest: Cell<u64>,
}

impl EndpointSource {
    /// Opens a source and starts to watch the age of what it delivers; this process watches the list
    /// itself while `own_watch` is open.
    pub fn open(freshness: EndpointFreshness, own_watch: Gate) -> Rc<Self> {
        let source = Rc::new(Self {
            freshness,
            own_watch,
            digest: Cell::default(),
        });
        spawn(Rc::clone(&source).watch_age());
        source
    }

    /// Returns how recent the endpoints are.
    pub fn freshness(&self) -> &EndpointFreshness {
        &self.freshness
    }

    /// Returns the digest of the endpoints that the leader has sent and this process uses; 0 for none.
    pub fn digest(&self) -> u64 {
        if self.own_watch.is_open() {
            0
        } else {
            self.digest.get()
        }
    }

    /// Takes into account what the leader has sent in response to a call sent at `sent_at`; returns
    /// whether this process gets its endpoints from the leader.
    pub fn update(&self, sent_at: Millis, applied: &AppliedUpdate) -> bool {
        if let Some(digest) = applied.endpoints_digest {
            self.digest.set(digest);
        } else if self.own_watch.is_open() {
            // The leader confirms other endpoints than those in use.
            return false;
        }
        if let Some(offset) = applied.endpoints_confirmed_ms {
            let confirmation = &self.freshness.confirmation;
            confirmation.record_relative(sent_at, offset);
        }
        if self.freshness.is_stale() {
            return false;
        }
        if self.own_watch.is_open() {
            self.own_watch.set(false);
            event(log::Level::Info, "endpoints-confirmed-again", String::new);
        }
        true
    }

    /// Makes this process read the list itself until the leader sends it again.
    pub fn read_list(&self) {
        if !self.own_watch.is_open() {
            event(log::Level::Warn, "endpoints-unconfirmed", || {
                format!("age={}", self.freshness.confirmation.age())
            });
            self.own_watch.set(true);
        }
    }

    async fn watch_age(self: Rc<Self>) {
        loop {
            let age = self.freshness.confirmation.age();
            // Before the first confirmation, an agent has no endpoints that could be too old.
            if age != Millis::MAX && self.freshness.is_stale() {
                self.read_list();
            }
            let max_age = self.freshness.limits.max_age();
            sleep(max_age.since(age).max(CHECK_PAUSE)).await;
        }
    }
}
