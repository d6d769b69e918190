//! What the tasks that serve requests at an entry share.

use crate::entry::choose_call::ChooseCall;
use crate::entry::entry_event::EntryEvent;
use crate::entry::entry_settings::EntryConfig;
use crate::entry::hedge_controller::HedgeController;
use crate::entry::inflight_attempts::InflightAttempts;
use crate::entry::key_binder_handle::KeyBinderHandle;
use crate::entry::locate_call::LocateCall;
use crate::entry::no_route::NoRoute;
use crate::entry::refusal_log::RefusalLog;
use crate::entry::route::Route;
use crate::entry::route_end::RouteEnd;
use crate::entry::route_progress::RouteProgress;
use crate::entry::terms::Terms;
use crate::entry::terms_call::TermsCall;
use crate::prelude::*;
use crate::process::metrics::Metrics;
use crate::store::store_client::StoreClient;
use crate::store::watch_switch::WatchSwitch;
use async_channel::Sender;
use oleanderlock::attempt_end::AttemptEnd;
use oleanderlock::issued_key::KeySecrets;
use std::sync::Arc;
use std::sync::mpsc;

/// The parts of an entry that all its tasks share; cheap to clone.
#[derive(Clone)]
pub struct EntryCx {
    /// The settings.
    pub cfg: Arc<EntryConfig>,
    /// The metrics.
    pub metrics: Metrics,
    /// The links to agents and other entries.
    pub peers: Peers,
    /// Attempts in flight.
    pub inflight: InflightAttempts,
    /// The platform's object API.
    pub store: StoreClient,
    /// Whether this entry watches the store.
    pub watch: WatchSwitch,
    /// The latest refusals, by request.
    pub refusals: RefusalLog,
    /// Decides which requests get a hedged attempt.
    pub hedges: HedgeController,
    /// Binds idempotency keys chosen by callers.
    pub keys: KeyBinderHandle,
    /// Secrets that authenticate issued idempotency keys.
    pub secrets: Arc<KeySecrets>,
    /// Events for the control thread.
    pub events: mpsc::Sender<EntryEvent>,
}

impl EntryCx {
    /// Requests an endpoint from the control thread; waits for the backoff of a retry, and for the
    /// version of a sample.
    ///
    /// # Errors
    ///
    /// Why there is none; [`ErrorKind::ShuttingDown`] when the control thread has ended.
    pub async fn choose(
        &self,
        call: impl FnOnce(Sender<Result<Route, NoRoute>>) -> ChooseCall,
    ) -> Result<Route, NoRoute> {
        let stopping = NoRoute {
            kind: ErrorKind::ShuttingDown,
            retry_after: Millis::ZERO,
        };
        let (tx, rx) = async_channel::bounded(1);
        if self.events.send(EntryEvent::Choose(call(tx))).is_err() {
            return Err(stopping);
        }
        rx.recv().await.unwrap_or(Err(stopping))
    }

    /// Requests the route to an incarnation of an agent from the control thread; `None` when it
    /// can't be reached.
    pub async fn locate(&self, incarnation: Incarnation, agent: &str) -> Option<Route> {
        let ask = |reply| {
            EntryEvent::Locate(LocateCall {
                incarnation,
                agent: agent.to_owned(),
                asked_at: now(),
                reply,
            })
        };
        self.ask(ask).await.flatten()
    }

    /// Requests the terms of a class or service from the control thread; without either, those of
    /// the default class. `None` when no contract covers it.
    pub async fn terms(&self, class: Option<String>, service: Option<String>) -> Option<Terms> {
        let ask = |reply| {
            EntryEvent::Terms(TermsCall {
                class,
                service,
                reply,
            })
        };
        self.ask(ask).await.flatten()
    }

    /// Reports to the control thread that no attempt was made at a chosen route.
    pub fn release(&self, route: &Route) {
        self.report_end(RouteEnd {
            key: route.key,
            end: AttemptEnd::Cancelled,
            load: None,
            elapsed: Millis::ZERO,
            units: 0,
        });
    }

    /// Reports the progress of an attempt to the control thread.
    pub fn report_progress(&self, progress: RouteProgress) {
        let _ = self.events.send(EntryEvent::Progress(progress));
    }

    /// Reports the end of an attempt to the control thread.
    pub fn report_end(&self, end: RouteEnd) {
        let _ = self.events.send(EntryEvent::Ended(end));
    }

    /// Sends an event with a reply channel to the control thread and waits for the reply; `None`
    /// when the thread has ended.
    pub async fn ask<T>(&self, event: impl FnOnce(Sender<T>) -> EntryEvent) -> Option<T> {
        let (tx, rx) = async_channel::bounded(1);
        self.events.send(event(tx)).ok()?;
        rx.recv().await.ok()
    }
}
