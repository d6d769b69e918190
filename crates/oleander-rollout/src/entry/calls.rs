//! Calls whose response is relayed as a whole.

use super::body::{EntryResponse, full, whole};
use super::entry_process::Entry;
use super::gates::GateRefusal;
use super::request_head::RequestHead;
use super::rooms::{kind_of, spread};
use super::whole_body::WholeBody;
use crate::call::call_memory::CallMemory;
use crate::call::call_outcome::CallOutcome;
use crate::call::call_request::CallRequest;
use crate::call::send_condition::SendCondition;
use crate::http::hop_headers;
use crate::http::response::{self, FullResponse};
use crate::prelude::*;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use oleander_platform::headers;
use oleanderlock::routing::retry_rule::retry_after;
use oleanderlock::routing::route::Route;

/// Shortest time after which a client may retry that was refused because its turn would be too late.
const OUT_OF_TURN_MIN: Millis = Millis(50);

/// Returns the point in time after which the client or the route no longer waits for the response.
pub fn deadline(head: &RequestHead, route: &Route) -> Millis {
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
    memory: CallMemory,
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
        workspace: head.workspace(),
        usage: None,
        trial: false,
        condition: SendCondition::default(),
        memory,
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
    memory: CallMemory,
) -> EntryResponse {
    let Some(service) = pick_service(entry, route) else {
        return full(response::refusal(retry_after(route.timeout)));
    };
    let kind = kind_of(head, &parts.uri);
    let Some(memory) = with_response(entry, head, memory, kind) else {
        return full(no_room(entry, head, route, "response-room"));
    };
    let mut req = call_request(head, route, parts, body, service, memory);
    req.usage = entry.usage_mark(&req);
    let outcome = match call_in_turn(entry, head, &req).await {
        Ok(outcome) => outcome,
        Err(refusal) => return full(out_of_turn(entry, head, route, refusal)),
    };
    let took = now().since(head.arrived);
    entry.metrics.record_latency("call", took);
    let left = req.deadline.since(now());
    let (response, result) = match outcome {
        CallOutcome::Answered(endpoint_response) => {
            let mut head = endpoint_response.head;
            hop_headers::remove(&mut head.headers);
            if let Some(rooms) = &entry.rooms {
                rooms.record_response(kind, endpoint_response.body.len());
            }
            let (id, metrics) = (req.id.clone(), entry.metrics.clone());
            let body = WholeBody::new(endpoint_response.body, id, metrics);
            let response = whole(Response::from_parts(head, body));
            (response, "answered".to_owned())
        }
        CallOutcome::NotRun(not_run) => {
            let after = not_run.retry_after.max(retry_after(left));
            let response = full(response::refusal(after));
            (response, not_run.reason.to_string())
        }
        CallOutcome::Unknown => {
            let response = full(response::status(StatusCode::BAD_GATEWAY));
            (response, "unknown".to_owned())
        }
        CallOutcome::TimedOut => {
            let response = full(response::status(StatusCode::GATEWAY_TIMEOUT));
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

/// Returns the memory of a call with what is reserved for its response, if responses are bounded;
/// `None` if there is no room.
fn with_response(
    entry: &Entry,
    head: &RequestHead,
    memory: CallMemory,
    kind: u64,
) -> Option<CallMemory> {
    let Some(rooms) = &entry.rooms else {
        return Some(memory);
    };
    let reserved = rooms.response(head.workspace(), entry.has_workspaces(), kind)?;
    Some(memory.with_response(reserved))
}

/// Refuses a request for which there is no room in this process; it has not run.
pub fn no_room(entry: &Entry, head: &RequestHead, route: &Route, place: &str) -> FullResponse {
    let left = deadline(head, route).since(now());
    refuse(entry, head, route, (place, spread(retry_after(left))))
}

/// Refuses a request whose turn at a full service would come too late; it has not run. Clients return
/// at any time until what waits is served, so that they don't all return at once.
pub fn out_of_turn(
    entry: &Entry,
    head: &RequestHead,
    route: &Route,
    refusal: GateRefusal,
) -> FullResponse {
    let longest = refusal.empty_after.max(OUT_OF_TURN_MIN);
    let after = Millis(rand::random_range(OUT_OF_TURN_MIN.0..=longest.0));
    refuse(entry, head, route, ("share", after))
}

fn refuse(
    entry: &Entry,
    head: &RequestHead,
    route: &Route,
    (place, after): (&str, Millis),
) -> FullResponse {
    entry.metrics.record_refusal(place);
    event(log::Level::Info, "no-room", || {
        let workspace = head.workspace();
        let workspace = workspace.as_deref().unwrap_or("none");
        format!(
            "request={} route={} place={place} workspace={workspace} retry_after={after}",
            head.id, route.name
        )
    });
    response::refusal(after)
}

/// Calls a service when it is the turn of the client's workspace. Without workspaces, nothing waits.
///
/// # Errors
///
/// Its turn would come too late.
async fn call_in_turn(
    entry: &Entry,
    head: &RequestHead,
    req: &CallRequest,
) -> Result<CallOutcome, GateRefusal> {
    let Some(pass) = entry.pass_gate(head, req).await? else {
        return Ok(entry.caller.call(req).await);
    };
    loop {
        let sent_at = now();
        match entry.caller.call(req).await {
            CallOutcome::NotRun(not_run) if not_run.full => pass.wait_again().await?,
            outcome => {
                if matches!(outcome, CallOutcome::Answered(_)) {
                    pass.served(now().since(sent_at));
                }
                return Ok(outcome);
            }
        }
    }
}
