//! The entry process.

use super::config_guard::ConfigGuard;
use super::gates::{GatePass, GateRefusal, Gates};
use super::key_log::KeyLog;
use super::origin_registry::OriginRegistry;
use super::request_head::RequestHead;
use super::rooms::Rooms;
use super::stop_clock::StopClock;
use super::usage_reporter::UsageReporter;
use super::{platform_updates, router};
use crate::call::call_request::CallRequest;
use crate::call::caller::Caller;
use crate::call::caller_role::CallerRole;
use crate::call::usage_mark::UsageMark;
use crate::http::response;
use crate::http::server::{bind, serve};
use crate::http::server_limits::ServerLimits;
use crate::http::shutdown::Shutdown;
use crate::observe::metrics::Metrics;
use crate::peer::leader_client::LeaderClient;
use crate::prelude::*;
use crate::settings::Config;
use crate::store::config_interest::ConfigInterest;
use crate::store::config_reader::ConfigReader;
use crate::store::confirmation::Confirmation;
use crate::store::endpoint_freshness::EndpointFreshness;
use crate::store::endpoint_source::EndpointSource;
use crate::store::follow::spawn_follower;
use crate::store::gate::Gate;
use crate::store::interests::Interests;
use crate::store::shared_view::SharedView;
use crate::store::store_client::StoreClient;
use crate::store::store_health::StoreHealth;
use crate::store::watch::WATCH_WAIT;
use http::StatusCode;
use oleanderlock::workspaces::key_policy::KeyPolicy;
use std::cell::Cell;
use std::convert::Infallible;
use std::io::ErrorKind as IoErrorKind;
use std::rc::Rc;

/// Time after a stop signal within which the load balancer detects that this entry is not ready.
const UNREADY_DELAY: Millis = Millis(3000);
/// How long before the process stops all requests are answered.
const ANSWER_MARGIN: Millis = Millis(300);
/// Interval at which a stopping entry checks whether connections are left.
const STOP_POLL_INTERVAL: Millis = Millis(20);
/// How long before the end of the grace period the process stops at the latest.
const STOP_MARGIN: Millis = Millis(600);
/// Longest head of a request while no configuration is known, in bytes.
const HEAD_BYTES_DEFAULT: usize = 16 << 10;
/// Idle timeout of a connection while no configuration is known.
const IDLE_TIMEOUT_DEFAULT: Millis = Millis::from_secs(15);
/// Limits on the connections of the load balancer's readiness checks.
const READY_LIMITS: ServerLimits = ServerLimits {
    head_bytes: HEAD_BYTES_DEFAULT,
    idle: IDLE_TIMEOUT_DEFAULT,
    bounded: false,
};

/// State that the tasks of an entry share.
#[derive(Debug)]
pub struct Entry {
    /// Settings.
    pub cfg: Config,
    /// Local copy of the platform's state.
    pub view: SharedView,
    /// Calls to the store.
    pub store: Rc<StoreClient>,
    /// Calls to the leading dispatcher.
    pub leader_client: Rc<LeaderClient>,
    /// Calls to endpoints.
    pub caller: Rc<Caller>,
    /// What began streams.
    pub origins: Rc<OriginRegistry>,
    /// Counts of the requests of workspaces; `None` if they are not reported.
    pub usage: Option<Rc<UsageReporter>>,
    /// Where the endpoints come from.
    pub endpoint_source: Rc<EndpointSource>,
    /// Room for bytes that wait; `None` if they are not bounded.
    pub rooms: Option<Rooms>,
    /// Gates in front of services, for requests of workspaces.
    pub gates: Gates,
    /// Metrics.
    pub metrics: Metrics,
    /// When the configuration in force was last known to be the newest.
    pub confirmation: Confirmation,
    /// How often keys are used.
    pub key_log: Rc<KeyLog>,
    /// Whether keys are accepted while that is not certain.
    pub key_policy: KeyPolicy,
    /// Whether the process is stopping.
    pub stopping: Cell<bool>,
    /// When the requests must be answered once the process is stopping.
    pub stop_clock: StopClock,
    shutdown: Rc<Shutdown>,
}

impl Entry {
    /// Opens an entry and starts its tasks on this thread.
    ///
    /// # Errors
    ///
    /// `InvalidInput` when the settings lack an address, or the error of the operating system when
    /// it can't listen on an address or start a thread.
    pub fn open(cfg: Config, metrics: Metrics) -> std::io::Result<Rc<Self>> {
        let missing = |what: &str| std::io::Error::new(IoErrorKind::InvalidInput, what.to_owned());
        let calls = cfg
            .calls
            .ok_or_else(|| missing("[listen] calls must be set"))?;
        let ready = cfg
            .ready
            .ok_or_else(|| missing("[listen] ready must be set"))?;
        let view = SharedView::default();
        let interests = Interests {
            config: Some(ConfigInterest::Always),
            endpoints: Some(WATCH_WAIT),
            crash_suspects: true,
            ..Interests::default()
        };
        let own_watch = Gate::open();
        let health = StoreHealth::default();
        let freshness = EndpointFreshness::new(cfg.leave_within);
        spawn_follower(
            cfg.store,
            interests,
            own_watch.clone(),
            health.clone(),
            freshness.clone(),
            view.clone(),
        )?;
        let store = StoreClient::new(cfg.store, health.clone());
        let leader_client = LeaderClient::new(view.clone());
        let caller = Caller::new(
            view.clone(),
            cfg.caller(CallerRole::Entry),
            Rc::clone(&store),
            metrics.clone(),
            cfg.features,
        );
        let duties = cfg.duties.as_ref();
        let duties = duties.filter(|duties| duties.usage || duties.scale);
        let usage = duties.map(|duties| {
            let client = Rc::clone(&leader_client);
            let demand = Rc::clone(caller.demand());
            UsageReporter::start(&cfg.node, duties, client, demand, metrics.clone())
        });
        let confirmation = Confirmation::default();
        let key_log = KeyLog::new(metrics.clone());
        let guard = ConfigGuard::new(
            view.clone(),
            Rc::clone(&leader_client),
            ConfigReader::new(cfg.store, view.clone(), confirmation.clone()),
            freshness.clone(),
            cfg.keys.config_within,
        );
        let entry = Rc::new(Self {
            usage,
            origins: OriginRegistry::new(view.clone(), Rc::clone(&leader_client)),
            leader_client,
            caller,
            store,
            view,
            endpoint_source: EndpointSource::open(freshness, own_watch),
            gates: Gates::default(),
            rooms: cfg.features.bounded_bytes.then(Rooms::default),
            metrics,
            confirmation,
            key_log: Rc::clone(&key_log),
            key_policy: cfg.keys.policy(),
            stopping: Cell::new(false),
            stop_clock: StopClock::default(),
            shutdown: Rc::default(),
            cfg,
        });
        entry.serve_ready(bind(ready)?);
        entry.serve_calls(bind(calls)?);
        spawn(platform_updates::run(Rc::clone(&entry)));
        spawn(guard.run());
        spawn(key_log.run());
        Ok(entry)
    }

    /// Returns what counts a request that is about to be sent; `None` if it is not counted.
    pub fn usage_mark(&self, req: &CallRequest) -> Option<Rc<UsageMark>> {
        let usage = self.usage.as_ref()?;
        usage.mark(req.workspace.as_ref()?)
    }

    fn serve_ready(self: &Rc<Self>, listener: smol::net::TcpListener) {
        let this = Rc::clone(self);
        let handler = Rc::new(move |_| {
            let ready = !this.stopping.get() && this.view.get().routes.is_some();
            async move {
                let status = if ready {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                };
                Ok::<_, Infallible>(response::status(status))
            }
        });
        spawn(serve(listener, || READY_LIMITS, Rc::default(), handler));
    }

    fn serve_calls(self: &Rc<Self>, listener: smol::net::TcpListener) {
        let this = Rc::clone(self);
        // Boxed while a request is handled: a connection without one would keep room for all of its
        // state.
        let handler = Rc::new(move |req| Box::pin(router::handle(Rc::clone(&this), req)));
        let this = Rc::clone(self);
        let limits = move || this.limits();
        spawn(serve(listener, limits, Rc::clone(&self.shutdown), handler));
    }

    /// Whether the configuration has workspaces, which share what is short.
    pub fn has_workspaces(&self) -> bool {
        self.view.get().has_workspaces()
    }

    /// Waits until it is the turn of the client's workspace at the service of a request; `None`
    /// without workspaces, where nothing waits.
    ///
    /// # Errors
    ///
    /// Its turn would come too late.
    pub(super) async fn pass_gate(
        &self,
        head: &RequestHead,
        req: &CallRequest,
    ) -> Result<Option<GatePass>, GateRefusal> {
        if !self.has_workspaces() {
            return Ok(None);
        }
        let rank = head.client.as_ref().and_then(|client| client.rank);
        let pass = self
            .gates
            .pass(&req.service, head.workspace(), rank, req.deadline);
        pass.await.map(Some)
    }

    fn limits(&self) -> ServerLimits {
        let view = self.view.get();
        let limits = view.routes.as_ref().map(|routes| routes.config.limits);
        ServerLimits {
            head_bytes: limits.map_or(HEAD_BYTES_DEFAULT, |limits| limits.header_bytes),
            idle: limits.map_or(IDLE_TIMEOUT_DEFAULT, |limits| limits.idle_time),
            bounded: self.rooms.is_some(),
        }
    }

    /// Stops the entry: it reports not ready, serves requests until the load balancer has detected
    /// it, and ends when its connections have closed or the grace period is almost over.
    pub async fn stop(&self) {
        self.stopping.set(true);
        let end = now().plus(self.cfg.grace.since(STOP_MARGIN));
        self.stop_clock
            .begin(Millis(end.0.saturating_sub(ANSWER_MARGIN.0)));
        sleep(UNREADY_DELAY.min(end.since(now()))).await;
        self.stop_clock.end_of_arrivals();
        self.shutdown.request();
        while !self.shutdown.is_over() && now() < end {
            sleep(STOP_POLL_INTERVAL).await;
        }
        if let Some(usage) = &self.usage {
            usage.stop().await;
        }
    }
}
