//! Calls whose response is relayed as a whole.

use super::entry_process::Entry;
use super::request_head::RequestHead;
use crate::call::call_outcome::CallOutcome;
use crate::call::call_request::CallRequest;
use crate::http::hop_headers;
use crate::http::response::{self, FullResponse};
use crate::prelude::*;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body_util::Full;
use oleander_platform::headers;
use oleanderlock::routing::retry_rule::retry_after;
use oleanderlock::routing::route::Route;
use std::sync::Arc;

/// Returns the point in time after which the client or the route no longer waits for the response.
fn deadline(head: &RequestHead, route: &Route) -> Millis {
    let timeout = head.client_timeout.unwrap_or(route.timeout);
    head.arrived.plus(timeout.min(route.timeout))
}

/// Returns the service of a call; `None` if the route has no service.
pub fn pick_service(entry: &Entry, route: &Route) -> Option<String> {
    let service = route.pick_service(rand::random());
    if service.is_none() {
        entry.metrics.record_refusal("no-service");
    }
    service.map(str::to_owned)
}

/// Returns the call to `service`, which the route leads to.
pub fn call_request(
    head: &RequestHead,
    route: &Route,
    parts: &Parts,
    body: Bytes,
    service: String,
) -> CallRequest {
    let mut header_map = parts.headers.clone();
    hop_headers::remove(&mut header_map);
    for name in [headers::DEADLINE_MS, headers::EXPECT_INSTANCE] {
        header_map.remove(name);
    }
    if let Some(client) = &head.client {
        set_workspace(&mut header_map, &client.workspace);
    }
    CallRequest {
        id: head.id.clone(),
        method: parts.method.clone(),
        target: parts.uri.clone(),
        headers: header_map,
        body,
        service,
        repeatable: route.is_repeatable(),
        attempts: route.attempts,
        objective: route.objective,
        deadline: deadline(head, route),
        resumes: None,
        workspace: head
            .client
            .as_ref()
            .map(|client| Arc::clone(&client.workspace)),
        usage: None,
        trial: false,
    }
}

/// Tells the endpoint the workspace of the client.
fn set_workspace(header_map: &mut HeaderMap, workspace: &str) {
    // The configuration has no name that is no valid header value.
    if let Ok(value) = HeaderValue::from_bytes(workspace.as_bytes()) {
        header_map.insert(headers::WORKSPACE, value);
    }
}

/// Calls the service of a route and returns its response.
pub async fn handle(
    entry: &Entry,
    head: &RequestHead,
    route: &Route,
    parts: &Parts,
    body: Bytes,
) -> FullResponse {
    let Some(service) = pick_service(entry, route) else {
        return response::refusal(retry_after(route.timeout));
    };
    let mut req = call_request(head, route, parts, body, service);
    req.usage = entry.usage_mark(&req);
    let outcome = entry.caller.call(&req).await;
    let took = now().since(head.arrived);
    entry.metrics.record_latency("call", took);
    let left = req.deadline.since(now());
    let (response, result) = match outcome {
        CallOutcome::Answered(endpoint_response) => {
            let mut head = endpoint_response.head;
            hop_headers::remove(&mut head.headers);
            let response = Response::from_parts(head, Full::new(endpoint_response.body));
            (response, "answered".to_owned())
        }
        CallOutcome::NotRun(not_run) => {
            let after = not_run.retry_after.max(retry_after(left));
            (response::refusal(after), not_run.reason.to_string())
        }
        CallOutcome::Unknown => {
            let response = response::status(StatusCode::BAD_GATEWAY);
            (response, "unknown".to_owned())
        }
        CallOutcome::TimedOut => {
            let response = response::status(StatusCode::GATEWAY_TIMEOUT);
            (response, "timeout".to_owned())
        }
    };
    if result != "answered" {
        entry.metrics.record_refusal(&result);
    }
    event(log::Level::Info, "call", || {
        format!(
            "request={} route={} service={} outcome={result} status={} took={took} left={left}",
            req.id,
            route.name,
            req.service,
            response.status().as_u16()
        )
    });
    response
}
