//! What the control thread of an agent acts through.

use crate::agent::agent_event::{AgentEvent, Probe, SwapReport};
use crate::agent::agent_settings::{AgentConfig, EndpointKind};
use crate::agent::engine_client::EngineClient;
use crate::agent::service_client::ServiceClient;
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

/// Time between two questions to the endpoint.
const PROBE_EVERY: Duration = Duration::from_millis(500);

/// The endpoint behind an agent.
#[derive(Clone, Debug)]
pub enum Endpoint {
    /// A model engine.
    Engine(EngineClient),
    /// A plain service.
    Service(ServiceClient),
}

/// Links, endpoint and metrics of an agent; cheap to clone.
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

    /// Tells whether the endpoint is a model engine.
    pub fn is_engine(&self) -> bool {
        matches!(self.endpoint, Endpoint::Engine(_))
    }

    /// Sends a message to an entry; one that can't be sent is counted and dropped.
    pub fn send(&self, entry: &str, body: Body) {
        if self.peers.send(entry, body).is_err() {
            self.metrics.count_event("send-failed");
        }
    }

    /// Closes the link to an entry that is gone.
    pub fn forget(&self, entry: &str) {
        self.peers.remove(entry);
    }

    /// Runs an attempt on the traffic threads.
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

    /// Stops a running attempt; returns whether it ran.
    pub fn stop_run(&self, ticket: Ticket) -> bool {
        let Some(task) = self.runs.lock().remove(&ticket) else {
            return false;
        };
        drop(task);
        if let Endpoint::Engine(engine) = self.endpoint.clone() {
            runtime::spawn(async move { engine.cancel(ticket).await });
        }
        true
    }

    /// Orders the engine to load a version.
    pub fn swap(&self, entry: String, order: wire::WeightOrder) {
        let Endpoint::Engine(engine) = self.endpoint.clone() else {
            return;
        };
        let events = self.events.clone();
        runtime::spawn(async move {
            let version = Version(order.version);
            let end = engine.swap(Fence(order.fence), &order.model, version).await;
            let report = SwapReport {
                entry,
                model: order.model,
                version,
                end,
            };
            let _ = events.send(AgentEvent::Swapped(report));
        });
    }

    /// Asks the endpoint again and again how it is.
    pub fn start_probes(&self) {
        let Endpoint::Engine(engine) = self.endpoint.clone() else {
            return;
        };
        let events = self.events.clone();
        runtime::spawn(async move {
            loop {
                let answer = engine.version().await;
                let version = answer.as_ref().and_then(|found| found.version).map(Version);
                let probe = Probe {
                    up: answer.is_some(),
                    version,
                };
                if events.send(AgentEvent::Probed(probe)).is_err() {
                    return;
                }
                smol::Timer::after(PROBE_EVERY).await;
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
