//! The dispatcher process.

use super::state::State;
use super::{http_api, leading, ticks};
use crate::http::server::Closing;
use crate::observe::metrics::Metrics;
use crate::peer::leader_client::LeaderClient;
use crate::prelude::*;
use crate::settings::Config;
use crate::store::client::StoreClient;
use crate::store::follow::{ConfigInterest, Interests, spawn_follower};
use crate::store::gate::Gate;
use crate::store::health::StoreHealth;
use crate::store::view::SharedView;
use event_listener::Event;
use oleanderlock::batch::board::Board;
use oleanderlock::batch::board_config::BoardConfig;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// What the tasks of a dispatcher share.
#[derive(Debug)]
pub struct Dispatcher {
    /// Settings.
    pub cfg: Config,
    /// What the store told.
    pub view: SharedView,
    /// The store.
    pub store: Rc<StoreClient>,
    /// Calls to other dispatchers.
    pub leader_client: Rc<LeaderClient>,
    /// Metrics.
    pub metrics: Metrics,
    /// Jobs, agents and results.
    pub state: RefCell<State>,
    /// Notified when results, outboxes or the leadership change.
    pub changed: Event,
    /// Open while it leads: a standby follows only who leads.
    pub leading: Gate,
    /// Until when it does not try to lead.
    pub paused_until: Cell<Millis>,
    /// Whether the process is to end.
    pub stopping: Cell<bool>,
    /// Ends the server.
    pub closing: Rc<Closing>,
}

impl Dispatcher {
    /// Opens a dispatcher and starts its tasks on this thread.
    ///
    /// # Errors
    ///
    /// The system's error when an address can't be bound or a thread not started.
    pub fn open(cfg: Config, metrics: Metrics) -> std::io::Result<Rc<Self>> {
        let view = SharedView::default();
        let interests = Interests {
            config: Some(ConfigInterest::WhileOpen),
            endpoints: true,
            versions: true,
            retirements: true,
        };
        let leading = Gate::default();
        let health = StoreHealth::default();
        spawn_follower(
            cfg.store,
            interests,
            leading.clone(),
            health.clone(),
            view.clone(),
        )?;
        let dispatcher = Rc::new(Self {
            store: StoreClient::new(cfg.store, health),
            leader_client: LeaderClient::new(view.clone()),
            view,
            metrics,
            state: RefCell::default(),
            changed: Event::new(),
            leading,
            paused_until: Cell::new(Millis::ZERO),
            stopping: Cell::new(false),
            closing: Rc::default(),
            cfg,
        });
        http_api::open(&dispatcher)?;
        spawn(leading::run(Rc::clone(&dispatcher)));
        spawn(ticks::run(Rc::clone(&dispatcher)));
        Ok(dispatcher)
    }

    /// Wakes everything that waits for a change.
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Gives up leading, if it does, and forgets what only a leader knows.
    pub fn step_down(&self, reason: &str) {
        let mut state = self.state.borrow_mut();
        let leadership = state.leadership;
        *state = State::default();
        state.board = Board::new(BoardConfig::default());
        drop(state);
        self.leading.set(false);
        self.view.update(|view| view.endpoints_known = false);
        event(log::Level::Warn, "stepped-down", || {
            format!("standing={leadership:?} reason=\"{reason}\"")
        });
        self.notify();
    }

    /// Whether this dispatcher still leads in `epoch`.
    pub fn leads_in(&self, epoch: u64) -> bool {
        self.state.borrow().leading_epoch() == Some(epoch)
    }

    /// Stops it: another dispatcher takes over at once.
    pub async fn stop(&self) {
        self.stopping.set(true);
        within(Millis(1500), leading::hand_over(self)).await;
        self.closing.close();
    }
}
