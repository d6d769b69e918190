//! Keeps the endpoints of the view by what the store lists.

use super::client::StoreClient;
use super::gate::Gate;
use super::health::StoreHealth;
use super::view::SharedView;
use super::watch_event::WatchEvent;
use crate::prelude::*;
use oleander_platform::endpoint::decode_endpoint;
use oleander_platform::object::{ENDPOINT_KIND, StoredObject};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

/// Time after the store's return within which entries that lapsed come back.
const LAPSED_BACK: Millis = Millis(2200);
/// Time between two looks at whether the store has returned.
const LOOK_EVERY: Millis = Millis(100);

/// Keeps the endpoints of the view.
///
/// Entries lapse while the store is away and come back shortly after its return, so what vanished
/// then stays for that time. A store that is away for new calls may still answer a watch that
/// waits, so failures of all calls of the process count, and a watch is not believed without one.
#[derive(Clone)]
pub struct Endpoints {
    store: Rc<StoreClient>,
    view: SharedView,
    gate: Gate,
    health: StoreHealth,
    // Entries that vanished and are kept for now.
    missing: Rc<RefCell<Vec<String>>>,
}

impl Endpoints {
    /// Keeps the endpoints of `view` while `gate` is open.
    pub fn new(store: Rc<StoreClient>, view: SharedView, gate: Gate, health: StoreHealth) -> Self {
        Self {
            store,
            view,
            gate,
            health,
            missing: Rc::default(),
        }
    }

    /// Takes in what following the kind brought.
    pub fn apply(&self, change: WatchEvent) {
        if !self.gate.is_open() {
            // Another list rules now.
            return;
        }
        match change {
            WatchEvent::All(objects, _) => self.put_all(&objects),
            WatchEvent::Put(object) => self.put(&object),
            WatchEvent::Gone(instance) => self.vanished(instance),
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
        spawn(self.clone().know_when_settled());
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

    /// Takes in that the answer of the store leaves out an instance.
    fn not_listed(&self, instance: String) {
        if self.health.failed_within(LAPSED_BACK) {
            self.missing.borrow_mut().push(instance.clone());
            spawn(self.clone().remove_unless_back(instance));
        } else {
            self.remove(&instance, "left the list");
        }
    }

    /// Takes in that a watch reports an instance as gone.
    fn vanished(&self, instance: String) {
        self.missing.borrow_mut().push(instance.clone());
        spawn(self.clone().remove_if_confirmed(instance));
    }

    /// Asks the store for an entry that a watch reports as gone. If the call fails, the store is
    /// away for new calls and the entry may have lapsed for that reason alone.
    async fn remove_if_confirmed(self, instance: String) {
        match self.store.get(ENDPOINT_KIND, &instance).await {
            // The watch brings it again.
            Ok(Some(_)) => return,
            Ok(None) => {}
            Err(err) => event(log::Level::Info, "endpoint-kept", || {
                format!("instance={instance} reason=\"{err}\"")
            }),
        }
        self.remove_unless_back(instance).await;
    }

    /// Waits until entries that lapsed should be back; only then others may go by this list.
    async fn know_when_settled(self) {
        self.lapsed_are_back().await;
        if self.gate.is_open() {
            self.view.update(|view| view.endpoints_known = true);
        }
    }

    /// Waits until entries that lapsed should be back; returns whether any may have.
    async fn lapsed_are_back(&self) -> bool {
        let may_have_lapsed = self.health.failed_within(LAPSED_BACK);
        while self.health.failed_within(LAPSED_BACK) {
            sleep(LOOK_EVERY).await;
        }
        may_have_lapsed
    }

    /// Waits until a lapsed entry should be back, then drops it if it is still missing.
    async fn remove_unless_back(self, instance: String) {
        let reason = if self.lapsed_are_back().await {
            "not back after the store's return"
        } else {
            "left the list"
        };
        let mut missing = self.missing.borrow_mut();
        let Some(place) = missing.iter().position(|one| one == &instance) else {
            return;
        };
        missing.swap_remove(place);
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
