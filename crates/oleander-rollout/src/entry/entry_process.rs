//! The entry process.

use super::{front, news};
use crate::call::caller::Caller;
use crate::http::response;
use crate::http::server::{bind, serve};
use crate::http::server_limits::ServerLimits;
use crate::http::shutdown::Shutdown;
use crate::observe::metrics::Metrics;
use crate::peer::leader_client::LeaderClient;
use crate::prelude::*;
use crate::settings::Config;
use crate::store::config_interest::ConfigInterest;
use crate::store::follow::spawn_follower;
use crate::store::gate::Gate;
use crate::store::interests::Interests;
use crate::store::shared_view::SharedView;
use crate::store::store_client::StoreClient;
use crate::store::store_health::StoreHealth;
use http::StatusCode;
use std::cell::Cell;
use std::convert::Infallible;
use std::io::ErrorKind as IoErrorKind;
use std::rc::Rc;

/// Time after a stop signal within which the balancer notices that this entry is not ready.
const NOTICE: Millis = Millis(3000);
/// How long before the end of the grace period the process ends.
const END_MARGIN: Millis = Millis(600);
/// Greatest request head while no configuration is known, in bytes.
const HEAD_BYTES_DEFAULT: usize = 16 << 10;
/// Longest idle time of a connection while no configuration is known.
const IDLE_DEFAULT: Millis = Millis::from_secs(15);
/// Bounds on the connections of the balancer's readiness checks.
const READY_LIMITS: ServerLimits = ServerLimits {
    head_bytes: HEAD_BYTES_DEFAULT,
    idle: IDLE_DEFAULT,
};

/// What the tasks of an entry share.
#[derive(Debug)]
pub struct Entry {
    /// Settings.
    pub cfg: Config,
    /// What the store told.
    pub view: SharedView,
    /// The store.
    pub store: Rc<StoreClient>,
    /// Calls to the leading dispatcher.
    pub leader_client: Rc<LeaderClient>,
    /// Calls to endpoints.
    pub caller: Rc<Caller>,
    /// When the store last failed a call.
    pub health: StoreHealth,
    /// Open while it follows the list of endpoints itself.
    pub own_list: Gate,
    /// Metrics.
    pub metrics: Metrics,
    /// Whether the process is to end.
    pub stopping: Cell<bool>,
    shutdown: Rc<Shutdown>,
}

impl Entry {
    /// Opens an entry and starts its tasks on this thread.
    ///
    /// # Errors
    ///
    /// The system's fault when an address can't be bound or a thread not started.
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
            endpoints: true,
            ..Interests::default()
        };
        let own_list = Gate::open();
        let health = StoreHealth::default();
        spawn_follower(
            cfg.store,
            interests,
            own_list.clone(),
            health.clone(),
            view.clone(),
        )?;
        let entry = Rc::new(Self {
            store: StoreClient::new(cfg.store, health.clone()),
            leader_client: LeaderClient::new(view.clone()),
            caller: Caller::new(view.clone(), cfg.domain.clone(), metrics.clone()),
            view,
            health,
            own_list,
            metrics,
            stopping: Cell::new(false),
            shutdown: Rc::default(),
            cfg,
        });
        entry.serve_ready(bind(ready)?);
        entry.serve_calls(bind(calls)?);
        spawn(news::run(Rc::clone(&entry)));
        Ok(entry)
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
        let handler = Rc::new(move |req| front::handle(Rc::clone(&this), req));
        let this = Rc::clone(self);
        let limits = move || this.limits();
        spawn(serve(listener, limits, Rc::clone(&self.shutdown), handler));
    }

    fn limits(&self) -> ServerLimits {
        let view = self.view.get();
        let limits = view.routes.as_ref().map(|routes| routes.config.limits);
        ServerLimits {
            head_bytes: limits.map_or(HEAD_BYTES_DEFAULT, |limits| limits.header_bytes),
            idle: limits.map_or(IDLE_DEFAULT, |limits| limits.idle_time),
        }
    }

    /// Stops it: it is no longer ready, answers on until the balancer has noticed, and ends when
    /// its connections have ended or the grace period is almost over.
    pub async fn stop(&self) {
        self.stopping.set(true);
        let end = now().plus(self.cfg.grace.since(END_MARGIN));
        sleep(NOTICE.min(end.since(now()))).await;
        self.shutdown.request();
        while self.shutdown.open_connections() > 0 && now() < end {
            sleep(Millis(20)).await;
        }
    }
}
