//! The HTTP routes of an entry.

use crate::entry::completions;
use crate::entry::entry_cx::EntryCx;
use crate::entry::entry_event::EntryEvent;
use crate::entry::operator_api;
use crate::entry::plain_calls;
use crate::entry::readiness::Readiness;
use crate::http::http_error::HttpError;
use crate::prelude::*;
use crate::steps::step_host::StepHost;
use crate::steps::trainer_api;
use std::future::Future;
use trillium::{Conn, Handler, Status};
use trillium_router::Router;

/// Returns the handler of all requests; an unknown path is answered with [`ErrorKind::NotFound`].
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
        .post("/v1/completions", with_cx(cx, completions::completions))
        .post("/v1/chat/completions", with_cx(cx, completions::chat))
        .post("/v1/keys", with_cx(cx, plain_calls::issue_key))
        .post("/v1/services/:service/*", with_cx(cx, plain_calls::call))
        .post(
            "/v1/trainers/:trainer/steps/:step",
            with_steps(cx, &host, trainer_api::open_step),
        )
        .get(
            "/v1/trainers/:trainer/steps/:step/samples",
            with_steps(cx, &host, trainer_api::pull),
        )
        .post(
            "/v1/models/:model/versions",
            with_cx(cx, trainer_api::publish_version),
        )
        .get(
            "/v1/contracts/:customer",
            with_cx(cx, operator_api::get_contract),
        )
        .get(
            "/v1/contracts/:customer/history",
            with_cx(cx, operator_api::contract_history),
        )
        .put(
            "/v1/contracts/:customer",
            with_cx(cx, operator_api::put_contract),
        )
        .get("/v1/requests/:request", with_cx(cx, operator_api::explain))
        .get("/v1/fleet", with_cx(cx, operator_api::fleet))
        .get("/v1/steps", with_steps(cx, &host, operator_api::steps));
    (
        refuse_while_stopping(readiness.clone()),
        router,
        answer_unknown,
    )
}

/// Returns a handler that calls `f` with the context.
fn with_cx<F, Fut>(cx: &EntryCx, f: F) -> impl Handler
where
    F: Fn(EntryCx, Conn) -> Fut + Copy + Send + Sync + 'static,
    Fut: Future<Output = Conn> + Send + 'static,
{
    let cx = cx.clone();
    move |conn: Conn| f(cx.clone(), conn)
}

/// Returns a handler that calls `f` with the context and the steps.
fn with_steps<F, Fut>(cx: &EntryCx, host: &StepHost, f: F) -> impl Handler
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
    let is_ready = summary.is_some_and(|summary| summary.settled && !summary.config.is_empty());
    if is_ready && !readiness.is_stopping() {
        return conn.ok("ready\n");
    }
    conn.with_status(Status::ServiceUnavailable)
        .with_body("not ready\n")
        .halt()
}

/// Returns a handler that refuses new work with [`ErrorKind::ShuttingDown`] while the entry stops;
/// work in flight goes on.
fn refuse_while_stopping(readiness: Readiness) -> impl Handler {
    move |conn: Conn| {
        let readiness = readiness.clone();
        async move {
            if readiness.is_stopping() && conn.path().starts_with("/v1/") {
                let error = HttpError::not_run(ErrorKind::ShuttingDown);
                return error.retry_after(Millis(100)).respond(conn);
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
