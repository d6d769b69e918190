//! What the traffic of an entry acts through.

use crate::entry::entry_event::{
    ChooseCall, EntryEvent, LocateCall, NoRoute, Route, RouteEnd, RouteProgress, Terms, TermsCall,
};
use crate::entry::entry_settings::EntryConfig;
use crate::entry::hedge_controller::HedgeController;
use crate::entry::inflight_attempts::InflightAttempts;
use crate::entry::key_binder_handle::KeyBinderHandle;
use crate::entry::refusal_log::RefusalLog;
use crate::prelude::*;
use crate::process::metrics::Metrics;
use crate::store::store_client::StoreClient;
use crate::store::watch_switch::WatchSwitch;
use async_channel::Sender;
use oleanderlock::attempt_end::AttemptEnd;
use oleanderlock::issued_key::KeySecrets;
use std::sync::Arc;
use std::sync::mpsc;

/// Links, table of attempts, store and metrics of an entry; cheap to clone.
#[derive(Clone)]
pub struct EntryCx {
    /// The settings.
    pub cfg: Arc<EntryConfig>,
    /// The metrics.
    pub metrics: Metrics,
    /// The links.
    pub peers: Peers,
    /// Attempts in flight.
    pub inflight: InflightAttempts,
    /// The platform's object API.
    pub store: StoreClient,
    /// Whether this process watches the store.
    pub watch: WatchSwitch,
    /// The latest refusals.
    pub refusals: RefusalLog,
    /// Decides on hedged attempts.
    pub hedges: HedgeController,
    /// Binds the keys that callers chose.
    pub keys: KeyBinderHandle,
    /// Secrets of issued idempotency keys.
    pub secrets: Arc<KeySecrets>,
    /// Events for the control thread.
    pub events: mpsc::Sender<EntryEvent>,
}

impl EntryCx {
    /// Asks the control thread for an endpoint.
    ///
    /// # Errors
    ///
    /// Why there is none.
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

    /// Asks the control thread for the way to an incarnation of an agent.
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

    /// Asks the control thread for the terms of a class or service.
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

    /// Tells the control thread that a route was not used.
    pub fn release(&self, route: &Route) {
        self.report_end(RouteEnd {
            key: route.key,
            end: AttemptEnd::Cancelled,
            load: None,
            elapsed: Millis::ZERO,
            units: 0,
        });
    }

    /// Tells the control thread that an attempt made progress.
    pub fn report_progress(&self, progress: RouteProgress) {
        let _ = self.events.send(EntryEvent::Progress(progress));
    }

    /// Tells the control thread that an attempt ended.
    pub fn report_end(&self, end: RouteEnd) {
        let _ = self.events.send(EntryEvent::Ended(end));
    }

    /// Asks the control thread; `None` when it has ended.
    pub async fn ask<T>(&self, question: impl FnOnce(Sender<T>) -> EntryEvent) -> Option<T> {
        let (tx, rx) = async_channel::bounded(1);
        self.events.send(question(tx)).ok()?;
        rx.recv().await.ok()
    }
}
