//! The agent process.

use super::engine_client::EngineClient;
use super::state::State;
use super::{engine_watch, hand_in, pull};
use crate::call::caller::Caller;
use crate::observe::metrics::Metrics;
use crate::peer::leader_client::LeaderClient;
use crate::peer::messages::{ReturnReason, ReturnedItem};
use crate::prelude::*;
use crate::settings::Config;
use crate::store::follow::spawn_follower;
use crate::store::gate::Gate;
use crate::store::interests::Interests;
use crate::store::shared_view::SharedView;
use crate::store::store_health::StoreHealth;
use event_listener::Event;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::endpoint_state::EndpointState;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind as IoErrorKind;
use std::rc::Rc;

/// Time that the items which are still running get to go to other agents before the process ends.
const HAND_OVER: Millis = Millis(2500);
/// Pause between two looks at the items of a stopping agent.
const STOP_PAUSE: Millis = Millis(50);

/// What the tasks of an agent share.
#[derive(Debug)]
pub struct Agent {
    /// Settings.
    pub cfg: Config,
    /// Number of this start.
    pub process: u64,
    /// What the store told.
    pub view: SharedView,
    /// Calls to the leading dispatcher.
    pub leader_client: Rc<LeaderClient>,
    /// Calls to services that score.
    pub caller: Rc<Caller>,
    /// Calls to the engine.
    pub engine: EngineClient,
    /// Metrics.
    pub metrics: Metrics,
    /// Items and the engine's state.
    pub state: RefCell<State>,
    /// Notified when items or results come.
    pub changed: Event,
    /// Whether the process is to end.
    pub stopping: Cell<bool>,
}

impl Agent {
    /// Opens an agent and starts its tasks on this thread.
    ///
    /// # Errors
    ///
    /// The system's fault when a thread can't be started, or no engine is set.
    pub fn open(cfg: Config, metrics: Metrics) -> std::io::Result<Rc<Self>> {
        let missing =
            || std::io::Error::new(IoErrorKind::InvalidInput, "[engine] addr must be set");
        let engine = cfg.engine.ok_or_else(missing)?;
        let view = SharedView::default();
        // The leader tells the rest.
        let health = StoreHealth::default();
        spawn_follower(
            cfg.store,
            Interests::default(),
            Gate::open(),
            health,
            view.clone(),
        )?;
        let agent = Rc::new(Self {
            leader_client: LeaderClient::new(view.clone()),
            caller: Caller::new(view.clone(), cfg.domain.clone(), metrics.clone()),
            engine: EngineClient::new(engine),
            view,
            metrics,
            state: RefCell::default(),
            changed: Event::new(),
            stopping: Cell::new(false),
            process: rand::random(),
            cfg,
        });
        spawn(engine_watch::run(Rc::clone(&agent)));
        spawn(pull::run(Rc::clone(&agent)));
        spawn(pull::report_changes(Rc::clone(&agent)));
        spawn(hand_in::run(Rc::clone(&agent)));
        Ok(agent)
    }

    /// Returns what the list says of the engine.
    pub fn endpoint(&self) -> Option<EndpointEntry> {
        self.view
            .get()
            .endpoints
            .newest_at(self.engine.addr())
            .cloned()
    }

    /// Returns the entry of the engine while it takes new work.
    pub fn ready_endpoint(&self) -> Option<EndpointEntry> {
        let entry = self.endpoint()?;
        let state = self.state.borrow();
        let replaced = state.replaced_instance.as_ref() == Some(&entry.instance);
        (entry.state == EndpointState::Ready && !replaced).then_some(entry)
    }

    /// Wakes everything that waits for a change.
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Gives back all items that match.
    pub fn give_back_all(&self, reason: ReturnReason, matches: impl Fn(bool) -> bool) {
        let mut state = self.state.borrow_mut();
        let items = state.items.values();
        let items = items.filter(|item| matches(item.run.is_some()));
        let items: Vec<ReturnedItem> = items
            .map(|item| ReturnedItem {
                key: item.work.key.clone(),
                reason,
                progress: item.work.progress.clone(),
            })
            .collect();
        for item in items {
            let name = item.key.to_string();
            // Cancels the run.
            state.items.shift_remove(&name);
            state.returned.insert(name, item);
        }
        drop(state);
        self.notify();
    }

    /// Gives back the items with these names, as `JOB/ITEM`, with what was made of them.
    pub fn give_back_named(&self, names: &[String]) {
        let mut state = self.state.borrow_mut();
        for name in names {
            // Removing an item cancels its run.
            if let Some(item) = state.items.shift_remove(name) {
                let returned = ReturnedItem {
                    key: item.work.key.clone(),
                    reason: ReturnReason::Recalled,
                    progress: item.work.progress.clone(),
                };
                state.returned.insert(name.clone(), returned);
            }
        }
        drop(state);
        if !names.is_empty() {
            self.notify();
        }
    }

    /// Gives back those of the items with these names that still wait for a slot.
    pub fn give_back_waiting(&self, names: &[String]) {
        let waiting: Vec<String> = {
            let state = self.state.borrow();
            let waits = |name: &&String| {
                let item = state.items.get(*name);
                item.is_some_and(|item| item.run.is_none())
            };
            names.iter().filter(waits).cloned().collect()
        };
        self.give_back_named(&waiting);
    }

    /// Stops it: runs end if they can in time, the rest goes to other agents.
    pub async fn stop(&self) {
        self.stopping.set(true);
        self.give_back_all(ReturnReason::EngineLost, |running| !running);
        let until = now().plus(self.cfg.grace.since(HAND_OVER));
        let busy = || !self.state.borrow().names().is_empty();
        while busy() && now() < until {
            sleep(STOP_PAUSE).await;
        }
        self.give_back_all(ReturnReason::EngineLost, |_| true);
        let until = now().plus(HAND_OVER.since(Millis(1000)));
        while busy() && now() < until {
            sleep(STOP_PAUSE).await;
        }
    }
}
