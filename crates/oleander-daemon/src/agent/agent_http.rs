//! HTTP API of an agent: health, metrics, state and drain.

use crate::agent::agent_event::AgentEvent;
use crate::agent::agent_summary::AgentSummary;
use crate::http::json_response::json_response;
use crate::prelude::*;
use crate::process::metrics::Metrics;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;
use trillium::{Conn, Handler, Status};
use trillium_router::Router;

/// Maximum wait for the control thread.
const DESCRIBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the request handler of all paths.
pub fn handler(events: Sender<AgentEvent>, metrics: Metrics) -> impl Handler {
    let summary_events = events.clone();
    let ready_events = events.clone();
    Router::new()
        .get("/healthz", |conn: Conn| async move { conn.ok("ok\n") })
        .get("/metrics", move |conn: Conn| {
            let text = metrics.encode();
            async move { conn.ok(text) }
        })
        .get("/readyz", move |conn: Conn| {
            respond_ready(conn, ready_events.clone())
        })
        .get("/v1/agent", move |conn: Conn| {
            respond_summary(conn, summary_events.clone())
        })
        .post("/v1/drain", move |conn: Conn| {
            respond_drain(conn, events.clone())
        })
}

async fn respond_ready(conn: Conn, events: Sender<AgentEvent>) -> Conn {
    match describe(events).await {
        Some(summary) if summary.ready => conn.ok("ready\n"),
        _ => conn
            .with_status(Status::ServiceUnavailable)
            .with_body("not ready\n")
            .halt(),
    }
}

async fn respond_summary(conn: Conn, events: Sender<AgentEvent>) -> Conn {
    match describe(events).await {
        Some(summary) => json_response(conn, Status::Ok, &summary),
        None => HttpError::not_run(ErrorKind::Internal).respond(conn),
    }
}

async fn respond_drain(conn: Conn, events: Sender<AgentEvent>) -> Conn {
    let _ = events.send(AgentEvent::Drain);
    conn.with_status(Status::Accepted).with_body("").halt()
}

async fn describe(events: Sender<AgentEvent>) -> Option<AgentSummary> {
    smol::unblock(move || {
        let (tx, rx) = channel();
        events.send(AgentEvent::Describe(tx)).ok()?;
        rx.recv_timeout(DESCRIBE_TIMEOUT).ok()
    })
    .await
}
