//! Routes the requests of callers and trainers to the handlers of the entry.

use super::body::{EntryResponse, full};
use super::entry_process::Entry;
use super::request_body::{BodyError, read_body, reserve};
use super::request_head::RequestHead;
use super::{access, calls, job_calls, streams, submit};
use crate::call::call_memory::CallMemory;
use crate::http::response;
use crate::http::room::HeldBytes;
use crate::prelude::*;
use http::header::{CONNECTION, HeaderValue};
use http::request::Parts;
use http::{HeaderName, Method, Request, StatusCode};
use hyper::body::Incoming;
use oleander_platform::headers;
use oleander_platform::job_call::JobCall;
use oleanderlock::routing::route::Route;
use oleanderlock::routing::route_kind::RouteKind;
use smol::future::FutureExt as _;
use std::convert::Infallible;
use std::rc::Rc;

/// Time after which a client may retry that was refused because this entry stops: others serve.
const STOPPING_RETRY_AFTER: Millis = Millis(50);
/// Time after which a client may retry while no configuration is known.
const NO_CONFIG_RETRY_AFTER: Millis = Millis(300);

/// Handles one request.
///
/// # Errors
///
/// Never, but a relayed body may break off.
pub async fn handle(entry: Rc<Entry>, req: Request<Incoming>) -> Result<EntryResponse, Infallible> {
    let (parts, body) = req.into_parts();
    let mut head = RequestHead::read(&parts);
    let mut response = {
        let routed = route(&entry, &mut head, parts, body);
        let cut_off = async {
            entry.stop_clock.answers_due().await;
            entry.metrics.record_refusal("stopping");
            // It may have run.
            full(response::status(StatusCode::GATEWAY_TIMEOUT))
        };
        routed.or(cut_off).await
    };
    let status = response.status();
    if entry.stopping.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    let id = HeaderName::from_static(headers::REQUEST_ID);
    if let Ok(value) = HeaderValue::from_str(&head.id) {
        response.headers_mut().entry(id).or_insert(value);
    }
    let took = now().since(head.arrived);
    entry.metrics.record_latency("request", took);
    if !status.is_success() {
        event(log::Level::Info, "request-failed", || {
            format!("request={} status={} took={took}", head.id, status.as_u16())
        });
    }
    Ok(response)
}

async fn route(
    entry: &Rc<Entry>,
    head: &mut RequestHead,
    mut parts: Parts,
    body: Incoming,
) -> EntryResponse {
    let view = entry.view.get();
    let Some(routes) = &view.routes else {
        entry.metrics.record_refusal("no-config");
        return full(response::refusal(NO_CONFIG_RETRY_AFTER));
    };
    let (path, query) = (parts.uri.path(), parts.uri.query());
    let max_bytes = routes.config.limits.body_bytes;
    let job_call = JobCall::parse(parts.method.as_str(), path, query);
    let found = routes.find(&head.host, path);
    // Calls about jobs belong to no route, also if one has their path.
    let checked_route = found.filter(|_| job_call.is_none());
    let refusal = access::check(entry, head, &mut parts.headers, routes, checked_route);
    if let Some(mut refusal) = refusal {
        access::leave_body(&parts, body, max_bytes, &mut refusal);
        return full(refusal);
    }
    if let Some(call) = job_call {
        return full(job_calls::handle(entry, head, &parts.headers, call).await);
    }
    let Some(route) = found else {
        event(log::Level::Info, "no-route", || {
            let version = routes.config.version;
            format!(
                "request={} host={} path={path} config={version}",
                head.id, head.host
            )
        });
        entry.metrics.record_refusal("no-route");
        return full(response::status(StatusCode::NOT_FOUND));
    };
    let route = route.clone();
    let piece = entry.rooms.as_ref().map(|rooms| {
        let shared = routes.config.workspaces.is_some();
        rooms.body(head.workspace(), shared)
    });
    let lacks_room = |piece: &HeldBytes| !reserve(&body, max_bytes, piece);
    if piece.as_ref().is_some_and(lacks_room) {
        let mut response = calls::no_room(entry, head, &route, "body-room");
        access::leave_body(&parts, body, max_bytes, &mut response);
        return full(response);
    }
    let read = match &piece {
        None => read_body(body, max_bytes, None).await,
        Some(piece) => {
            let left = calls::deadline(head, &route).since(now());
            let read = within(left, read_body(body, max_bytes, Some(piece))).await;
            read.unwrap_or(Err(BodyError::Failed(StatusCode::REQUEST_TIMEOUT)))
        }
    };
    let body = match read {
        Ok(body) => body,
        Err(BodyError::NoRoom) => return full(calls::no_room(entry, head, &route, "body-room")),
        Err(BodyError::Failed(status)) => {
            entry.metrics.record_refusal("body");
            return full(response::status(status));
        }
    };
    if entry
        .stop_clock
        .refuses(&route, calls::deadline(head, &route))
    {
        entry.metrics.record_refusal("stopping");
        return full(response::refusal(STOPPING_RETRY_AFTER));
    }
    let memory = CallMemory::of_body(piece);
    dispatch(entry, head, &route, parts, body, memory).await
}

async fn dispatch(
    entry: &Rc<Entry>,
    head: &RequestHead,
    route: &Route,
    parts: Parts,
    body: Bytes,
    memory: CallMemory,
) -> EntryResponse {
    match route.kind {
        RouteKind::Rollout if parts.method == Method::POST => {
            full(submit::handle(entry, head, route, &parts, &body).await)
        }
        RouteKind::Rollout => full(response::status(StatusCode::METHOD_NOT_ALLOWED)),
        RouteKind::Stream => streams::handle(entry, head, route, &parts, body, memory).await,
        RouteKind::Safe | RouteKind::Unsafe => {
            calls::handle(entry, head, route, &parts, body, memory).await
        }
    }
}
