//! HTTP of an agent: health, metrics and drain.

use crate::agent::agent_event::{AgentEvent, AgentSummary};
use crate::http::json_response::json_response;
use crate::prelude::*;
use crate::process::metrics::Metrics;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;
use trillium::{Conn, Handler, Status};
use trillium_router::Router;

/// Longest wait for the control thread.
const DESCRIBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the handler of all paths.
pub fn handler(events: Sender<AgentEvent>, metrics: Metrics) -> impl Handler {
    let describing = events.clone();
    let ready = events.clone();
    Router::new()
        .get("/healthz", |conn: Conn| async move { conn.ok("ok\n") })
        .get("/metrics", move |conn: Conn| {
            let text = metrics.encode();
            async move { conn.ok(text) }
        })
        .get("/readyz", move |conn: Conn| {
            answer_ready(conn, ready.clone())
        })
        .get("/v1/agent", move |conn: Conn| {
            answer_summary(conn, describing.clone())
        })
        .post("/v1/drain", move |conn: Conn| {
            answer_drain(conn, events.clone())
        })
}

async fn answer_ready(conn: Conn, events: Sender<AgentEvent>) -> Conn {
    match describe(events).await {
        Some(summary) if summary.ready => conn.ok("ready\n"),
        _ => conn
            .with_status(Status::ServiceUnavailable)
            .with_body("not ready\n")
            .halt(),
    }
}

async fn answer_summary(conn: Conn, events: Sender<AgentEvent>) -> Conn {
    match describe(events).await {
        Some(summary) => json_response(conn, Status::Ok, &summary),
        None => HttpError::not_run(ErrorKind::Internal).respond(conn),
    }
}

async fn answer_drain(conn: Conn, events: Sender<AgentEvent>) -> Conn {
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
