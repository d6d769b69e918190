//! HTTP of an entry.

use crate::entry::completions;
use crate::entry::entry_cx::EntryCx;
use crate::entry::entry_event::EntryEvent;
use crate::entry::operator_api;
use crate::entry::plain_calls;
use crate::http::http_error::HttpError;
use crate::prelude::*;
use crate::steps::step_host::StepHost;
use crate::steps::trainer_api;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use trillium::{Conn, Handler, Status};
use trillium_router::Router;

/// Tells whether the entry takes new work, and holds the steps that end when it does not.
#[derive(Clone, Default)]
pub struct Readiness {
    stopping: Arc<AtomicBool>,
    steps: StepHost,
}

impl Readiness {
    /// Takes no new work from now on, and gives up the steps.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
        self.steps.close();
    }

    fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }
}

/// Returns the handler of all paths.
pub fn handler(cx: &EntryCx, readiness: &Readiness) -> impl Handler {
    let host = readiness.steps.clone();
    let metrics = cx.metrics.clone();
    let ready_cx = cx.clone();
    let ready = readiness.clone();
    let router = Router::new()
        .get("/healthz", |conn: Conn| async move { conn.ok("ok\n") })
        .get("/metrics", move |conn: Conn| {
            let text = metrics.encode();
            async move { conn.ok(text) }
        })
        .get("/readyz", move |conn: Conn| {
            answer_ready(ready_cx.clone(), ready.clone(), conn)
        })
        .post("/v1/completions", on(cx, completions::completions))
        .post("/v1/chat/completions", on(cx, completions::chat))
        .post("/v1/keys", on(cx, plain_calls::issue_key))
        .post("/v1/services/:service/*", on(cx, plain_calls::call))
        .post(
            "/v1/trainers/:trainer/steps/:step",
            with(cx, &host, trainer_api::open_step),
        )
        .get(
            "/v1/trainers/:trainer/steps/:step/samples",
            with(cx, &host, trainer_api::pull),
        )
        .post(
            "/v1/models/:model/versions",
            on(cx, trainer_api::publish_version),
        )
        .get(
            "/v1/contracts/:customer",
            on(cx, operator_api::get_contract),
        )
        .get(
            "/v1/contracts/:customer/history",
            on(cx, operator_api::contract_history),
        )
        .put(
            "/v1/contracts/:customer",
            on(cx, operator_api::put_contract),
        )
        .get("/v1/requests/:request", on(cx, operator_api::explain))
        .get("/v1/fleet", on(cx, operator_api::fleet))
        .get("/v1/steps", with(cx, &host, operator_api::steps));
    (
        refuse_while_stopping(readiness.clone()),
        router,
        answer_unknown,
    )
}

/// A handler that calls `f` with the context.
fn on<F, Fut>(cx: &EntryCx, f: F) -> impl Handler
where
    F: Fn(EntryCx, Conn) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Conn> + Send + 'static,
{
    let cx = cx.clone();
    move |conn: Conn| f(cx.clone(), conn)
}

/// A handler that calls `f` with the context and the steps.
fn with<F, Fut>(cx: &EntryCx, host: &StepHost, f: F) -> impl Handler
where
    F: Fn(EntryCx, StepHost, Conn) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Conn> + Send + 'static,
{
    let cx = cx.clone();
    let host = host.clone();
    move |conn: Conn| f(cx.clone(), host.clone(), conn)
}

async fn answer_ready(cx: EntryCx, readiness: Readiness, conn: Conn) -> Conn {
    let summary = cx.ask(EntryEvent::Describe).await;
    let has_config = summary.is_some_and(|it| it.settled && !it.config.is_empty());
    if has_config && !readiness.is_stopping() {
        return conn.ok("ready\n");
    }
    conn.with_status(Status::ServiceUnavailable)
        .with_body("not ready\n")
        .halt()
}

/// New work is refused as not run; what is in flight goes on.
fn refuse_while_stopping(readiness: Readiness) -> impl Handler {
    move |conn: Conn| {
        let readiness = readiness.clone();
        async move {
            if readiness.is_stopping() && conn.path().starts_with("/v1/") {
                let fault = HttpError::not_run(ErrorKind::ShuttingDown);
                return fault.retry_after(Millis(100)).respond(conn);
            }
            conn
        }
    }
}

async fn answer_unknown(conn: Conn) -> Conn {
    if conn.status().is_some() {
        return conn;
    }
    HttpError::not_run(ErrorKind::NotFound)
        .detail("no such path")
        .respond(conn)
}
