//! Updates the endpoints of the view from a watch of the store.

use super::endpoint_freshness::EndpointFreshness;
use super::gate::Gate;
use super::shared_view::SharedView;
use super::store_client::StoreClient;
use super::store_health::StoreHealth;
use super::watch_event::WatchEvent;
use crate::prelude::*;
use oleander_platform::endpoint::decode_endpoint;
use oleander_platform::object::ENDPOINT_KIND;
use oleander_platform::stored_object::StoredObject;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

/// Time after an outage of the store within which lapsed entries are registered again.
const REREGISTER_TIME: Millis = Millis(2200);
/// Time between two checks whether the store answers again.
const HEALTH_CHECK_EVERY: Millis = Millis(100);

/// Updates the endpoints of the view from a watch of the store.
///
/// The entries of endpoints lapse while the store is down and are registered again shortly after,
/// so an entry that disappears around an outage is kept for that time. A store that refuses new
/// calls may still answer a waiting watch: failures of all calls of this process count as an
/// outage, and a deletion that a watch reports is confirmed by a new call.
#[derive(Clone)]
pub struct EndpointWatcher {
    store: Rc<StoreClient>,
    view: SharedView,
    gate: Gate,
    health: StoreHealth,
    freshness: EndpointFreshness,
    // Instances whose entries have disappeared from the store and are kept for now.
    missing: Rc<RefCell<Vec<String>>>,
}

impl EndpointWatcher {
    /// Creates a watcher that updates `view` while `gate` is open and records in `freshness` when
    /// the endpoints were current.
    pub fn new(
        store: Rc<StoreClient>,
        view: SharedView,
        gate: Gate,
        health: StoreHealth,
        freshness: EndpointFreshness,
    ) -> Self {
        Self {
            store,
            view,
            gate,
            health,
            freshness,
            missing: Rc::default(),
        }
    }

    /// Applies an event of the watch of endpoints.
    pub fn apply(&self, watch_event: WatchEvent) {
        if !self.gate.is_open() {
            // The view no longer takes its endpoints from this watch.
            return;
        }
        match watch_event {
            WatchEvent::All(objects, _) => self.put_all(&objects),
            WatchEvent::Put(object) => self.put(&object),
            WatchEvent::Gone(instance) => self.deleted(instance),
            WatchEvent::Current(at) => self.freshness.confirmation.record(at),
            WatchEvent::Lost | WatchEvent::Regained => {}
        }
    }

    fn put_all(&self, objects: &[StoredObject]) {
        let known: Vec<String> = {
            let view = self.view.get();
            view.endpoints.instances().map(str::to_owned).collect()
        };
        for object in objects {
            self.put(object);
        }
        let listed = |instance: &String| objects.iter().any(|object| &object.name == instance);
        for instance in known.into_iter().filter(|instance| !listed(instance)) {
            self.not_listed(instance);
        }
        spawn(self.clone().set_known_when_settled());
    }

    fn put(&self, object: &StoredObject) {
        let instance = &object.name;
        self.missing
            .borrow_mut()
            .retain(|missing| missing != instance);
        match decode_endpoint(instance, object.spec.get()) {
            Ok(entry) => self.view.update(|view| {
                event(log::Level::Debug, "endpoint-listed", || {
                    format!(
                        "instance={instance} service={} state={:?}",
                        entry.service, entry.state
                    )
                });
                Arc::make_mut(&mut view.endpoints).put(entry);
            }),
            Err(err) => {
                event(log::Level::Warn, "endpoint-unreadable", || {
                    format!("instance={instance} reason=\"{err}\"")
                });
                self.remove(instance, "unreadable");
            }
        }
    }

    /// Handles an instance that a new list of the store does not contain.
    fn not_listed(&self, instance: String) {
        if self.health.failed_within(REREGISTER_TIME) {
            self.missing.borrow_mut().push(instance.clone());
            spawn(self.clone().remove_unless_restored(instance));
        } else {
            self.remove(&instance, "no longer in the store");
        }
    }

    /// Handles an instance that the watch reports as deleted.
    fn deleted(&self, instance: String) {
        self.missing.borrow_mut().push(instance.clone());
        spawn(self.clone().remove_if_confirmed(instance));
    }

    /// Reads an entry that the watch reports as deleted. If the call fails, the store refuses new
    /// calls, and the entry may have lapsed for that reason alone.
    async fn remove_if_confirmed(self, instance: String) {
        match self.store.get(ENDPOINT_KIND, &instance).await {
            // The watch reports the entry again.
            Ok(Some(_)) => return,
            Ok(None) => {}
            Err(err) => event(log::Level::Info, "endpoint-kept", || {
                format!("instance={instance} reason=\"{err}\"")
            }),
        }
        self.remove_unless_restored(instance).await;
    }

    /// Marks the endpoints as known once lapsed entries had time to be registered again.
    async fn set_known_when_settled(self) {
        self.wait_for_lapsed().await;
        if self.gate.is_open() {
            self.view.update(|view| view.endpoints_known = true);
        }
    }

    /// Waits until lapsed entries had time to be registered again; returns whether any may have
    /// lapsed.
    async fn wait_for_lapsed(&self) -> bool {
        let may_have_lapsed = self.health.failed_within(REREGISTER_TIME);
        while self.health.failed_within(REREGISTER_TIME) {
            sleep(HEALTH_CHECK_EVERY).await;
        }
        may_have_lapsed
    }

    /// Removes an instance if its entry is still missing once lapsed entries had time to be
    /// registered again.
    async fn remove_unless_restored(self, instance: String) {
        let reason = if self.wait_for_lapsed().await {
            "not registered again after an outage of the store"
        } else {
            "no longer in the store"
        };
        let mut missing = self.missing.borrow_mut();
        let Some(index) = missing.iter().position(|one| one == &instance) else {
            return;
        };
        missing.swap_remove(index);
        drop(missing);
        if self.gate.is_open() {
            self.remove(&instance, reason);
        }
    }

    fn remove(&self, instance: &str, reason: &str) {
        let mut removed = false;
        self.view
            .update(|view| removed = Arc::make_mut(&mut view.endpoints).remove(instance));
        if removed {
            event(log::Level::Info, "endpoint-gone", || {
                format!("instance={instance} reason=\"{reason}\"")
            });
        }
    }
}
