//! The dispatcher process and the state that its tasks share.

use super::state::State;
use super::{crash_sweep, election, http_api, ticks};
use crate::duty::duties::Duties;
use crate::http::shutdown::Shutdown;
use crate::observe::metrics::Metrics;
use crate::peer::leader_client::LeaderClient;
use crate::prelude::*;
use crate::settings::Config;
use crate::store::config_interest::ConfigInterest;
use crate::store::config_reader::ConfigReader;
use crate::store::confirmation::Confirmation;
use crate::store::endpoint_freshness::EndpointFreshness;
use crate::store::follow::spawn_follower;
use crate::store::gate::Gate;
use crate::store::interests::Interests;
use crate::store::shared_view::SharedView;
use crate::store::store_client::StoreClient;
use crate::store::store_health::StoreHealth;
use event_listener::Event;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::batch::unreached_leader::UnreachedLeader;
use oleanderlock::routing::stream_origins::StreamOrigins;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Longest time for handing over before the process ends.
const HAND_OVER_TIMEOUT: Millis = Millis(1500);

/// Time between two readings of the configuration by a leader.
const CONFIRM_INTERVAL: Millis = Millis::from_secs(1);

/// Streams of entries whose origins are remembered.
const STREAMS_MAX: usize = 32_768;

/// The state that the tasks of a dispatcher share.
#[derive(Debug)]
pub struct Dispatcher {
    /// Settings.
    pub cfg: Config,
    /// Local copy of the state in the store.
    pub view: SharedView,
    /// Client of the store.
    pub store: Rc<StoreClient>,
    /// Reads the configuration while the deployment has workspaces.
    pub config_reader: Rc<ConfigReader>,
    /// Client of the other dispatchers.
    pub leader_client: Rc<LeaderClient>,
    /// Metrics.
    pub metrics: Metrics,
    /// Jobs, agents and results; empty on a standby.
    pub state: RefCell<State>,
    /// What began the streams that entries have recorded here.
    pub origins: RefCell<StreamOrigins>,
    /// Duties of the leader; `None` if there are none.
    pub duties: Option<Rc<Duties>>,
    /// Notified when the leadership, the configuration, the endpoints or the callers change, which
    /// concerns all that wait.
    pub changed: Event,
    /// Notified when results wait to be listed.
    pub staged: Event,
    /// Notified when results were listed or a job has ended.
    pub listed: Event,
    /// Gate of the watches on the store that only a leader needs: open while this dispatcher leads
    /// or recovers. A standby watches only the objects about dispatchers.
    pub full_view_gate: Gate,
    /// How recent the endpoints of the view are.
    pub freshness: EndpointFreshness,
    /// When this dispatcher last knew all ends of jobs.
    pub ends_confirmation: Confirmation,
    /// Agents that don't reach the leader.
    pub unreached_leader: RefCell<UnreachedLeader>,
    /// Time until which this dispatcher does not try to lead.
    pub paused_until: Cell<Millis>,
    /// Whether the process is stopping.
    pub stopping: Cell<bool>,
    /// Ends the HTTP server.
    pub shutdown: Rc<Shutdown>,
}

impl Dispatcher {
    /// Opens a dispatcher and starts its tasks on this thread.
    ///
    /// # Errors
    ///
    /// The error of the operating system if an address can't be bound or a thread can't be started.
    pub fn open(cfg: Config, metrics: Metrics) -> std::io::Result<Rc<Self>> {
        let view = SharedView::default();
        let freshness = EndpointFreshness::new(cfg.leave_within);
        let interests = Interests {
            config: Some(ConfigInterest::WhileOpen),
            endpoints: Some(freshness.limits.watch_wait()),
            versions: true,
            retirements: true,
            crash_suspects: false,
        };
        let full_view_gate = Gate::default();
        let health = StoreHealth::default();
        spawn_follower(
            cfg.store,
            interests,
            full_view_gate.clone(),
            health.clone(),
            freshness.clone(),
            view.clone(),
        )?;
        let store = StoreClient::new(cfg.store, health);
        let duties = cfg.duties.clone();
        let duties = duties.map(|duties| {
            let store = Rc::clone(&store);
            Duties::new(duties, &cfg.node, view.clone(), store, metrics.clone())
        });
        let dispatcher = Rc::new(Self {
            store,
            duties,
            config_reader: ConfigReader::new(cfg.store, view.clone(), Confirmation::default()),
            leader_client: LeaderClient::new(view.clone()),
            freshness,
            ends_confirmation: Confirmation::default(),
            view,
            metrics,
            state: RefCell::default(),
            origins: RefCell::new(StreamOrigins::new(STREAMS_MAX)),
            changed: Event::new(),
            staged: Event::new(),
            listed: Event::new(),
            full_view_gate,
            unreached_leader: RefCell::default(),
            paused_until: Cell::new(Millis::ZERO),
            stopping: Cell::new(false),
            shutdown: Rc::default(),
            cfg,
        });
        http_api::open(&dispatcher)?;
        spawn(election::run(Rc::clone(&dispatcher)));
        spawn(ticks::run(Rc::clone(&dispatcher)));
        spawn(crash_sweep::run(Rc::clone(&dispatcher)));
        spawn(confirm_config(Rc::clone(&dispatcher)));
        Ok(dispatcher)
    }

    /// Wakes all tasks that wait for [`Self::changed`].
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Makes this dispatcher a standby and drops the state of a leader.
    pub fn step_down(&self, reason: &str) {
        let mut state = self.state.borrow_mut();
        let leadership = state.leadership;
        *state = State::default();
        state.scheduler = Scheduler::new(SchedulerConfig::default());
        drop(state);
        self.full_view_gate.set(false);
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

    /// Hands over to another dispatcher and ends the HTTP server.
    pub async fn stop(&self) {
        self.stopping.set(true);
        within(HAND_OVER_TIMEOUT, election::hand_over(self)).await;
        self.shutdown.request();
    }
}

/// Confirms the configuration once a second while this dispatcher leads a deployment with
/// workspaces, and wakes the calls of entries that wait for it.
async fn confirm_config(dispatcher: Rc<Dispatcher>) {
    while !dispatcher.stopping.get() {
        let leads = dispatcher.state.borrow().leading_epoch().is_some();
        if leads && dispatcher.view.get().has_workspaces() {
            dispatcher.config_reader.refresh().await;
            dispatcher.notify();
        }
        sleep(CONFIRM_INTERVAL).await;
    }
}
