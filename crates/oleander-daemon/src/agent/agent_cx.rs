//! Side effects of the control thread of an agent: messages, calls to the endpoint and metrics.

use crate::agent::agent_event::AgentEvent;
use crate::agent::agent_settings::AgentConfig;
use crate::agent::endpoint::Endpoint;
use crate::agent::endpoint_kind::EndpointKind;
use crate::agent::engine_client::EngineClient;
use crate::agent::probe_result::ProbeResult;
use crate::agent::service_client::ServiceClient;
use crate::agent::swap_report::SwapReport;
use crate::entry::attempt::{Attempt, AttemptEnd, Waiter};
use crate::prelude::*;
use crate::process::metrics::Metrics;
use crate::process::runtime;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;
use trillium_smol::async_global_executor::{self as executor, Task};

/// Time between two probes of the endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Settings, links, endpoint and metrics of an agent; cheap to clone.
#[derive(Clone)]
pub struct AgentCx {
    /// The settings.
    pub cfg: Arc<AgentConfig>,
    /// The metrics.
    pub metrics: Metrics,
    peers: Peers,
    endpoint: Endpoint,
    events: Sender<AgentEvent>,
    runs: Arc<Mutex<HashMap<Ticket, Task<()>>>>,
}

impl AgentCx {
    /// Creates the context.
    pub fn new(
        cfg: Arc<AgentConfig>,
        metrics: Metrics,
        peers: Peers,
        events: Sender<AgentEvent>,
    ) -> Self {
        let endpoint = match cfg.kind {
            EndpointKind::Engine => Endpoint::Engine(EngineClient::new(&cfg.endpoint)),
            EndpointKind::Service => Endpoint::Service(ServiceClient::new(&cfg.endpoint)),
        };
        Self {
            cfg,
            metrics,
            peers,
            endpoint,
            events,
            runs: Arc::default(),
        }
    }

    /// Returns whether the endpoint is a model engine.
    pub fn is_engine(&self) -> bool {
        matches!(self.endpoint, Endpoint::Engine(_))
    }

    /// Sends a message to an entry; on failure the message is dropped and counted.
    pub fn send(&self, entry: &str, body: Body) {
        if self.peers.send(entry, body).is_err() {
            self.metrics.count_event("send-failed");
        }
    }

    /// Closes the connection to an entry.
    pub fn close_link(&self, entry: &str) {
        self.peers.remove(entry);
    }

    /// Runs an attempt in the background and reports its end as an event.
    pub fn run(&self, attempt: Attempt) {
        let ticket = attempt.ticket();
        let cx = self.clone();
        let task = executor::spawn(async move {
            let end = cx.run_to_end(&attempt).await;
            cx.runs.lock().remove(&end.ticket);
            let _ = cx.events.send(AgentEvent::Ended(end));
        });
        self.runs.lock().insert(ticket, task);
    }

    /// Stops a running attempt; returns false when it was not running.
    pub fn cancel_run(&self, ticket: Ticket) -> bool {
        let Some(task) = self.runs.lock().remove(&ticket) else {
            return false;
        };
        drop(task);
        if let Endpoint::Engine(engine) = self.endpoint.clone() {
            runtime::spawn(async move { engine.cancel(ticket).await });
        }
        true
    }

    /// Orders the engine to load a version and reports the outcome as an event.
    pub fn order_load(&self, entry: String, order: wire::WeightOrder) {
        let Endpoint::Engine(engine) = self.endpoint.clone() else {
            return;
        };
        let events = self.events.clone();
        runtime::spawn(async move {
            let version = Version(order.version);
            let outcome = engine
                .order_load(Fence(order.fence), &order.model, version)
                .await;
            let report = SwapReport {
                entry,
                model: order.model,
                version,
                outcome,
            };
            let _ = events.send(AgentEvent::Swapped(report));
        });
    }

    /// Starts to probe an engine at a fixed interval; plain services are not probed.
    pub fn start_probes(&self) {
        let Endpoint::Engine(engine) = self.endpoint.clone() else {
            return;
        };
        let events = self.events.clone();
        runtime::spawn(async move {
            loop {
                let found = engine.version().await;
                let version = found.as_ref().and_then(|found| found.version).map(Version);
                let probe = ProbeResult {
                    up: found.is_some(),
                    version,
                };
                if events.send(AgentEvent::Probed(probe)).is_err() {
                    return;
                }
                smol::Timer::after(PROBE_INTERVAL).await;
            }
        });
    }

    async fn run_to_end(&self, attempt: &Attempt) -> AttemptEnd {
        match &self.endpoint {
            Endpoint::Service(service) => service.run(attempt).await,
            Endpoint::Engine(engine) => {
                let waiters = &attempt.waiters;
                engine
                    .run(attempt, |chunk| self.send_chunk(waiters, &chunk))
                    .await
            }
        }
    }

    fn send_chunk(&self, waiters: &[Waiter], chunk: &wire::Chunk) {
        for waiter in waiters {
            let mut chunk = chunk.clone();
            chunk.ticket = Some(waiter.ticket.into());
            self.send(&waiter.entry, Body::Chunk(chunk));
        }
    }
}
