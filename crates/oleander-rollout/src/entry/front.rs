//! Requests of callers and trainers: which part of the entry answers them.

use super::body::{EntryResponse, whole};
use super::entry_process::Entry;
use super::head::RequestHead;
use super::{calls, job_calls, streams, submit};
use crate::http::response;
use crate::prelude::*;
use http::header::{CONNECTION, HeaderValue};
use http::request::Parts;
use http::{HeaderName, Method, Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use oleander_platform::headers;
use oleander_platform::job_call::JobCall;
use oleanderlock::routing::route::Route;
use oleanderlock::routing::route_kind::RouteKind;
use std::convert::Infallible;
use std::rc::Rc;

/// Time after which a caller may come back while no configuration is known.
const NO_CONFIG_RETRY: Millis = Millis(300);

/// Answers one request.
///
/// # Errors
///
/// Never; bodies that are relayed may still break.
pub async fn handle(entry: Rc<Entry>, req: Request<Incoming>) -> Result<EntryResponse, Infallible> {
    let (parts, body) = req.into_parts();
    let head = RequestHead::read(&parts);
    let mut answer = route(&entry, &head, parts, body).await;
    let status = answer.status();
    if entry.stopping.get() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    let id = HeaderName::from_static(headers::REQUEST_ID);
    if let Ok(value) = HeaderValue::from_str(&head.id) {
        answer.headers_mut().entry(id).or_insert(value);
    }
    let took = now().since(head.arrived);
    entry.metrics.record_duration("request", took);
    if !status.is_success() {
        event(log::Level::Info, "request-failed", || {
            format!("request={} status={} took={took}", head.id, status.as_u16())
        });
    }
    Ok(answer)
}

async fn route(
    entry: &Rc<Entry>,
    head: &RequestHead,
    parts: Parts,
    body: Incoming,
) -> EntryResponse {
    let view = entry.view.get();
    let Some(routes) = &view.routes else {
        entry.metrics.record_refusal("no-config");
        return whole(response::refusal(NO_CONFIG_RETRY));
    };
    let (path, query) = (parts.uri.path(), parts.uri.query());
    if let Some(call) = JobCall::parse(parts.method.as_str(), path, query) {
        return whole(job_calls::handle(entry, head, &parts.headers, call).await);
    }
    let Some(route) = routes.find(&head.host, path) else {
        event(log::Level::Info, "no-route", || {
            let version = routes.config.version;
            format!(
                "request={} host={} path={path} config={version}",
                head.id, head.host
            )
        });
        entry.metrics.record_refusal("no-route");
        return whole(response::status(StatusCode::NOT_FOUND));
    };
    let route = route.clone();
    let body = match read_body(body, routes.config.limits.body_bytes).await {
        Ok(body) => body,
        Err(status) => {
            entry.metrics.record_refusal("body");
            return whole(response::status(status));
        }
    };
    dispatch(entry, head, &route, parts, body).await
}

async fn dispatch(
    entry: &Rc<Entry>,
    head: &RequestHead,
    route: &Route,
    parts: Parts,
    body: Bytes,
) -> EntryResponse {
    match route.kind {
        RouteKind::Rollout if parts.method == Method::POST => {
            whole(submit::handle(entry, head, route, &parts, &body).await)
        }
        RouteKind::Rollout => whole(response::status(StatusCode::METHOD_NOT_ALLOWED)),
        RouteKind::Stream => streams::handle(entry, head, route, &parts, body).await,
        RouteKind::Safe | RouteKind::Unsafe => {
            whole(calls::handle(entry, head, route, &parts, body).await)
        }
    }
}

/// Reads a whole body, of at most `max_bytes`.
async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, StatusCode> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(fault) if fault.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Err(fault) => {
            event(log::Level::Info, "body-broken", || {
                format!("reason=\"{fault}\"")
            });
            Err(StatusCode::BAD_REQUEST)
        }
    }
}
