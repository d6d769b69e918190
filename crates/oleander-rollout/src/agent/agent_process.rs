//! The agent process.

use super::engine_client::EngineClient;
use super::job_checks::{CheckActions, JobChecks};
use super::score_window::ScoreWindow;
use super::state::State;
use super::{engine_poll, outcomes, pull, runner};
use crate::call::caller::Caller;
use crate::call::caller_role::CallerRole;
use crate::call::limit_share::share_of_agent;
use crate::http::socket::refuses_connections;
use crate::observe::metrics::Metrics;
use crate::peer::leader_client::LeaderClient;
use crate::peer::messages::{ReturnReason, ReturnedItem, WorkItem};
use crate::prelude::*;
use crate::settings::Config;
use crate::store::endpoint_freshness::EndpointFreshness;
use crate::store::endpoint_source::EndpointSource;
use crate::store::follow::spawn_follower;
use crate::store::gate::Gate;
use crate::store::interests::Interests;
use crate::store::shared_view::SharedView;
use crate::store::store_client::StoreClient;
use crate::store::store_health::StoreHealth;
use crate::store::watch::WATCH_WAIT;
use event_listener::Event;
use indexmap::IndexSet;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::endpoint_state::EndpointState;
use oleanderlock::routing::placement::Placement;
use oleanderlock::routing::stream_origin::differs;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind as IoErrorKind;
use std::rc::Rc;

/// Part of the grace period that is reserved for returning the items that are still running.
const RETURN_TIME: Millis = Millis(2500);
/// Timeout of checking whether the engine refuses connections.
const DOWN_CHECK_TIMEOUT: Millis = Millis(100);
/// Interval at which a run that waits checks whether its job is open.
const OPEN_CHECK_INTERVAL: Millis = Millis(200);
/// Interval at which a stopping agent checks whether it has items left.
const STOP_POLL_INTERVAL: Millis = Millis(50);

/// State that the tasks of an agent share.
#[derive(Debug)]
pub struct Agent {
    /// Settings.
    pub cfg: Config,
    /// Random id of this process.
    pub process: u64,
    /// Local copy of the platform's state.
    pub view: SharedView,
    /// Where the endpoints come from.
    pub endpoint_source: Rc<EndpointSource>,
    /// Calls to the leading dispatcher.
    pub leader_client: Rc<LeaderClient>,
    /// Calls to the scoring services.
    pub caller: Rc<Caller>,
    /// Bound on concurrent calls to the scoring services.
    pub score_window: ScoreWindow,
    /// Calls to the engine.
    pub engine: EngineClient,
    /// Which jobs are still open.
    pub job_checks: Rc<JobChecks>,
    /// Metrics.
    pub metrics: Metrics,
    /// Items and state of the engine.
    pub state: RefCell<State>,
    /// Notified when items, results or the state of the engine change.
    pub changed: Event,
    /// Whether the process is stopping.
    pub stopping: Cell<bool>,
    /// Whether a task waits for the engine's rate limit, to start waiting items then.
    pub waits_for_limit: Cell<bool>,
}

impl Agent {
    /// Opens an agent and starts its tasks on this thread.
    ///
    /// # Errors
    ///
    /// `InvalidInput` when the settings have no engine, or the error of the operating system when a
    /// thread can't be started.
    pub fn open(cfg: Config, metrics: Metrics) -> std::io::Result<Rc<Self>> {
        let missing =
            || std::io::Error::new(IoErrorKind::InvalidInput, "[engine] addr must be set");
        let engine = cfg.engine.ok_or_else(missing)?;
        let view = SharedView::default();
        // Configuration and endpoints come from the leader.
        let own_watch = Gate::default();
        let health = StoreHealth::default();
        let freshness = EndpointFreshness::new(cfg.leave_within);
        spawn_follower(
            cfg.store,
            Interests {
                crash_suspects: true,
                endpoints: Some(WATCH_WAIT),
                ..Interests::default()
            },
            own_watch.clone(),
            health.clone(),
            freshness.clone(),
            view.clone(),
        )?;
        let caller = Caller::new(
            view.clone(),
            cfg.caller(CallerRole::Agent),
            StoreClient::new(cfg.store, health),
            metrics.clone(),
            cfg.features,
        );
        if cfg.duties.as_ref().is_some_and(|duties| duties.scale) {
            caller.demand().enable();
        }
        let agent = Rc::new(Self {
            leader_client: LeaderClient::new(view.clone()),
            engine: EngineClient::new(
                engine,
                Rc::clone(caller.leaving()),
                Rc::clone(caller.limits()),
            ),
            caller,
            job_checks: JobChecks::new(&cfg, view.clone()),
            endpoint_source: EndpointSource::open(freshness, own_watch),
            view,
            metrics,
            state: RefCell::default(),
            changed: Event::new(),
            stopping: Cell::new(false),
            waits_for_limit: Cell::new(false),
            score_window: ScoreWindow::default(),
            process: rand::random(),
            cfg,
        });
        spawn(engine_poll::run(Rc::clone(&agent)));
        spawn(pull::run(Rc::clone(&agent)));
        spawn(pull::report_changes(Rc::clone(&agent)));
        spawn(outcomes::run(Rc::clone(&agent)));
        spawn(check_jobs(Rc::clone(&agent)));
        spawn(Rc::clone(&agent.job_checks).read_config());
        Ok(agent)
    }

    /// Waits until a job is known to be open. If it has ended, its items are dropped, which ends their
    /// runs.
    pub async fn wait_until_open(&self, job: &str) {
        while !self.job_checks.is_open(job) {
            within(OPEN_CHECK_INTERVAL, self.changed.listen()).await;
        }
    }

    /// Returns whether an item may be sent to an engine of a service, by the newest configuration that this
    /// process knows: with work the leader sends its own, and while it is silent the store is read.
    pub fn placement(&self, service: &str, work: &WorkItem) -> Placement {
        let view = self.view.get();
        let path = if work.job_path.is_empty() {
            &work.item.path
        } else {
            &work.job_path
        };
        Placement::of(view.routes.as_deref(), &work.host, path, service)
    }

    /// Drops the items of a job that has ended.
    fn drop_job(&self, job: &str) {
        let mut state = self.state.borrow_mut();
        let items = state.items.iter();
        let of_job = items.filter(|(_, item)| item.work.key.job == job);
        let names: Vec<String> = of_job.map(|(name, _)| name.clone()).collect();
        event(log::Level::Info, "end-read", || {
            format!("job={job} dropped={}", names.len())
        });
        for name in &names {
            state.remove_item(name);
        }
        drop(state);
        self.notify();
    }

    /// Returns the entry of the engine in the endpoint list; see [`OwnEntry::find`].
    ///
    /// [`OwnEntry::find`]: oleanderlock::routing::own_entry::OwnEntry::find
    pub fn endpoint(&self) -> Option<EndpointEntry> {
        let view = self.view.get();
        let services = view.routes.as_ref().map(|routes| &routes.config.services);
        let is_configured =
            |service: &str| services.is_none_or(|services| services.contains_key(service));
        let state = self.state.borrow();
        let reported_start = state
            .engine
            .as_ref()
            .and_then(|(report, _)| report.started_unix_ms);
        let addr = self.engine.addr();
        state
            .own_entry
            .find(&view.endpoints, addr, reported_start, is_configured)
            .cloned()
    }

    /// Records that the engine has refused a request for the incarnation of `entry`, which is another
    /// one's or out of date.
    pub fn refuse_entry(&self, entry: &EndpointEntry) {
        event(log::Level::Warn, "entry-refused", || {
            format!("instance={} service={}", entry.instance, entry.service)
        });
        self.state.borrow_mut().own_entry.refuse(entry);
        self.notify();
    }

    /// Returns the version of the engine's software, if the list names it.
    pub fn software(&self) -> Option<String> {
        self.endpoint()?.software
    }

    /// Whether the engine refuses connections. If so, it takes no more work until it reports again.
    pub async fn engine_is_down(&self) -> bool {
        let is_down = refuses_connections(self.engine.addr(), DOWN_CHECK_TIMEOUT).await;
        if is_down && self.state.borrow_mut().engine.take().is_some() {
            event(log::Level::Warn, "engine-down", String::new);
            self.notify();
        }
        is_down
    }

    /// Returns the engine's endpoint if it accepts new work: `None` while it is draining, leaving,
    /// replaced by another instance, or restarted since the list was written, whose software version
    /// may be another one.
    pub fn ready_endpoint(&self) -> Option<EndpointEntry> {
        let entry = self.endpoint()?;
        let state = self.state.borrow();
        let replaced = state.own_entry.has_refused(&entry);
        let leaving = self.caller.leaving().contains(&entry);
        let takes_work = !replaced && !leaving && !self.has_restarted(&entry);
        (entry.state == EndpointState::Ready && takes_work).then_some(entry)
    }

    /// Whether the engine reports another start than `entry` in the list names.
    pub fn has_restarted(&self, entry: &EndpointEntry) -> bool {
        let state = self.state.borrow();
        let report = state.fresh_report();
        report.is_some_and(|report| differs(entry.started_unix_ms, report.started_unix_ms))
    }

    /// Returns how long the agent has to wait before it may send a request to its engine; `None`
    /// while it may not send any.
    pub fn engine_delay(&self, endpoint: &EndpointEntry) -> Option<Millis> {
        let share = || share_of_agent(&self.view.get(), &endpoint.service);
        self.caller.limits().delay(&endpoint.instance, share)
    }

    /// Takes the next request that the agent may send to its engine; returns the same as
    /// [`Self::engine_delay`] before.
    pub fn reserve_request(&self, endpoint: &EndpointEntry) -> Option<Millis> {
        let share = || share_of_agent(&self.view.get(), &endpoint.service);
        self.caller.limits().reserve(&endpoint.instance, share)
    }

    /// Waits until the engine's rate limit allows a request and takes it; returns false at once if
    /// that takes longer than `longest`, so that a request that is given up takes no place of later
    /// ones.
    pub async fn wait_for_limit(&self, endpoint: &EndpointEntry, longest: Millis) -> bool {
        let delay = self.engine_delay(endpoint);
        if delay.is_none_or(|delay| delay > longest) {
            return false;
        }
        if let Some(delay) = self.reserve_request(endpoint) {
            sleep(delay).await;
        }
        true
    }

    /// Returns how many runs of the usual length the engine's rate limit allows at the same time;
    /// `None` without a limit.
    pub fn limited_slots(&self, endpoint: &EndpointEntry) -> Option<usize> {
        let share = || share_of_agent(&self.view.get(), &endpoint.service);
        let grant = self.caller.limits().grant(&endpoint.instance, share)?;
        Some(grant.concurrency(self.state.borrow().mean_run))
    }

    /// Wakes the tasks that wait for a change.
    pub fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Cancels all items for which `matches` holds and queues them, with their progress, for return
    /// to the dispatcher. The argument of `matches` is whether the item is running.
    pub fn return_matching(&self, reason: ReturnReason, matches: impl Fn(bool) -> bool) {
        let mut state = self.state.borrow_mut();
        let items = state.items.values();
        let items = items.filter(|item| matches(item.run.is_some()));
        let items: Vec<ReturnedItem> = items
            .map(|item| {
                ReturnedItem::new(item.work.key.clone(), reason, item.work.progress.clone())
            })
            .collect();
        for item in items {
            let name = item.key.to_string();
            // Removing an item cancels its run.
            state.items.shift_remove(&name);
            state.returned.insert(name, item);
        }
        drop(state);
        self.notify();
    }

    /// Cancels the items with these names, as `JOB/ITEM`, and queues them, with their progress, for
    /// return to the dispatcher.
    pub fn return_named(&self, names: &[String]) {
        let mut state = self.state.borrow_mut();
        for name in names {
            // Removing an item cancels its run.
            if let Some(item) = state.items.shift_remove(name) {
                let returned = ReturnedItem::new(
                    item.work.key.clone(),
                    ReturnReason::Recalled,
                    item.work.progress.clone(),
                );
                state.returned.insert(name.clone(), returned);
            }
        }
        drop(state);
        if !names.is_empty() {
            self.notify();
        }
    }

    /// Does the same as [`Self::return_named`] for those of the items that still wait for a slot.
    pub fn return_waiting(&self, names: &[String]) {
        let waiting: Vec<String> = {
            let state = self.state.borrow();
            let waits = |name: &&String| {
                let item = state.items.get(*name);
                item.is_some_and(|item| item.run.is_none())
            };
            names.iter().filter(waits).cloned().collect()
        };
        self.return_named(&waiting);
    }

    /// Stops the agent: returns waiting items, lets runs end during the grace period, and returns
    /// the items that are still running.
    pub async fn stop(&self) {
        self.stopping.set(true);
        self.return_matching(ReturnReason::EngineLost, |running| !running);
        let until = now().plus(self.cfg.grace.since(RETURN_TIME));
        let busy = || !self.state.borrow().item_names().is_empty();
        while busy() && now() < until {
            sleep(STOP_POLL_INTERVAL).await;
        }
        self.return_matching(ReturnReason::EngineLost, |_| true);
        let until = now().plus(RETURN_TIME.since(Millis(1000)));
        while busy() && now() < until {
            sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

/// Checks which of the held jobs are open while no leader says so, until the process ends.
async fn check_jobs(agent: Rc<Agent>) {
    let checks = Rc::clone(&agent.job_checks);
    let (holder, dropper) = (Rc::clone(&agent), Rc::clone(&agent));
    let actions = CheckActions {
        held: move || -> IndexSet<String> {
            let state = holder.state.borrow();
            let items = state.items.values();
            items.map(|item| item.work.key.job.clone()).collect()
        },
        ended: move |job: &str| dropper.drop_job(job),
        confirmed: move || {
            agent.notify();
            runner::start_waiting(&agent);
        },
    };
    checks.read_ends(actions).await;
}
