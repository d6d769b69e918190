//! Updates the endpoints of the view from a watch of the store.

use super::endpoint_freshness::EndpointFreshness;
use super::gate::Gate;
use super::shared_view::SharedView;
use super::store_client::StoreClient;
use super::store_health::StoreHealth;
use super::watch_event::WatchEvent;
use crate::prelude::*;
use indexmap::IndexSet;
use oleander_platform::decode_error::DecodeError;
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
/// calls may still answer a waiting watch: calls of this process that fail while no later one is
/// answered count as an outage, and a deletion that a watch reports is confirmed by a new call.
///
/// The first list that a process reads after it has lost the leader may also lack entries that lapsed
/// in an outage which this process has not noticed. They are kept for as long as they may be used if
/// there was no outage and they have left.
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
        let (known, told): (Vec<String>, bool) = {
            let view = self.view.get();
            let instances = view.endpoints.instances().map(str::to_owned);
            (instances.collect(), view.endpoints_told)
        };
        if told {
            self.view.update(|view| view.endpoints_told = false);
        }
        let keep = if told {
            let age = self.freshness.confirmation.age();
            self.freshness.limits.keep_missing(age)
        } else {
            Millis::ZERO
        };
        self.put_listed(objects);
        let listed = |instance: &String| objects.iter().any(|object| &object.name == instance);
        for instance in known.into_iter().filter(|instance| !listed(instance)) {
            self.not_listed(instance, keep);
        }
        spawn(self.clone().set_known_when_settled());
    }

    /// Puts all entries of a list in one update, since each update copies the table.
    fn put_listed(&self, objects: &[StoredObject]) {
        let names: IndexSet<&str> = objects.iter().map(|object| object.name.as_str()).collect();
        self.missing
            .borrow_mut()
            .retain(|missing| !names.contains(missing.as_str()));
        let mut entries = Vec::new();
        let mut unreadable = Vec::new();
        for object in objects {
            match decode_endpoint(&object.name, object.spec.get()) {
                Ok(entry) => entries.push(entry),
                Err(err) => unreadable.push((&object.name, err)),
            }
        }
        self.view.update(|view| {
            let table = Arc::make_mut(&mut view.endpoints);
            for entry in entries {
                table.put(entry);
            }
        });
        for (instance, err) in unreadable {
            self.reject(instance, &err);
        }
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
            Err(err) => self.reject(instance, &err),
        }
    }

    fn reject(&self, instance: &str, err: &DecodeError) {
        event(log::Level::Warn, "endpoint-unreadable", || {
            format!("instance={instance} reason=\"{err}\"")
        });
        self.remove(instance, "unreadable");
    }

    /// Handles an instance that a new list of the store does not contain; it may be kept for `keep`.
    fn not_listed(&self, instance: String, keep: Millis) {
        if keep > Millis::ZERO || self.health.failed_within(REREGISTER_TIME) {
            self.missing.borrow_mut().push(instance.clone());
            spawn(self.clone().remove_after(instance, keep));
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

    async fn remove_after(self, instance: String, keep: Millis) {
        sleep(keep).await;
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
