//! Streams of events, relayed as they arrive.

use super::body::{EntryResponse, full};
use super::calls::{call_request, no_room, out_of_turn, pick_service};
use super::entry_process::Entry;
use super::gates::{GatePass, GateRefusal};
use super::relay;
use super::request_head::RequestHead;
use super::resumption::Resumption;
use crate::call::call_memory::CallMemory;
use crate::call::call_request::CallRequest;
use crate::call::event_stream::EventStream;
use crate::call::stream_failure::StreamFailure;
use crate::call::stream_limits::StreamLimits;
use crate::http::response;
use crate::prelude::*;
use http::request::Parts;
use http::{HeaderValue, StatusCode};
use oleander_platform::headers;
use oleander_platform::priority::engine_priority;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::retry_rule::retry_after;
use oleanderlock::routing::route::Route;
use oleanderlock::routing::stream_origin::StreamOrigin;

/// Time after which a client may retry to resume a stream that is not known: the dispatchers that
/// know it may be back, or another entry may reach them.
const UNKNOWN_RETRY_AFTER: Millis = Millis(500);

/// Opens a stream at the service of a route, or resumes one there, and relays it.
pub async fn handle(
    entry: &Entry,
    head: &RequestHead,
    route: &Route,
    parts: &Parts,
    body: Bytes,
    memory: CallMemory,
) -> EntryResponse {
    let resumption = match Resumption::read(&parts.headers) {
        Ok(resumption) => resumption,
        Err(error) => {
            event(log::Level::Info, "resumption-unreadable", || {
                format!("request={} reason=\"{error}\"", head.id)
            });
            entry.metrics.record_refusal("resumption");
            return full(response::status(StatusCode::BAD_REQUEST));
        }
    };
    let origin = match &resumption {
        None => None,
        Some(resumption) => match find_origin(entry, route, resumption).await {
            Some(origin) => Some(origin),
            None => return unknown_stream(entry, head, route, resumption),
        },
    };
    let service = origin.as_ref().map(|origin| origin.service.clone());
    let Some(service) = service.or_else(|| pick_service(entry, route)) else {
        return full(response::refusal(retry_after(route.timeout)));
    };
    let mut req = CallRequest {
        resumes: origin,
        ..call_request(head, route, parts, body, service, memory)
    };
    let piece = match &entry.rooms {
        None => None,
        Some(rooms) => match rooms.stream(head.workspace(), entry.has_workspaces()) {
            Some(piece) => Some(piece),
            None => return full(no_room(entry, head, route, "stream-room")),
        },
    };
    req.usage = entry.usage_mark(&req);
    if let Some(rank) = head.client.as_ref().and_then(|client| client.rank) {
        let priority = HeaderValue::from(engine_priority(rank));
        req.headers.insert(headers::PRIORITY, priority);
    }
    let after_event = resumption.as_ref().map_or(0, |from| from.after_event);
    let limits = StreamLimits::of(route.objective);
    let (opened, pass) = match open_in_turn(entry, head, &req, (after_event, limits)).await {
        Ok(opened) => opened,
        Err(refusal) => return full(out_of_turn(entry, head, route, refusal)),
    };
    let took = now().since(head.arrived);
    entry.metrics.record_latency("first-event", took);
    let left = req.deadline.since(now());
    let mut endpoint = None;
    let (result, response) = match opened {
        Ok(stream) => {
            endpoint = stream.endpoint().cloned();
            if route.resumable {
                record_origin(entry, &stream, &req).await;
            }
            ("opened".to_owned(), relay::response(stream, piece, pass))
        }
        Err(StreamFailure::NotRun(not_run)) => {
            let after = not_run.retry_after.max(retry_after(left));
            (not_run.reason.to_string(), full(response::refusal(after)))
        }
        Err(StreamFailure::Unknown) => {
            let response = full(response::status(StatusCode::BAD_GATEWAY));
            ("unknown".to_owned(), response)
        }
    };
    if result != "opened" {
        entry.metrics.record_refusal(&result);
    }
    log_stream(
        &req,
        route,
        &result,
        took,
        endpoint.as_ref(),
        resumption.as_ref(),
    );
    response
}

/// Opens a stream when it is the turn of the client's workspace, and returns it with the pass that
/// counts it as under way. Without workspaces, nothing waits.
///
/// # Errors
///
/// Its turn would come too late.
async fn open_in_turn(
    entry: &Entry,
    head: &RequestHead,
    req: &CallRequest,
    (after_event, limits): (u64, StreamLimits),
) -> Result<(Result<EventStream, StreamFailure>, Option<GatePass>), GateRefusal> {
    let open = || EventStream::open(&entry.caller, req.clone(), after_event, limits);
    let Some(pass) = entry.pass_gate(head, req).await? else {
        return Ok((open().await, None));
    };
    loop {
        match open().await {
            Err(StreamFailure::NotRun(not_run)) if not_run.full => pass.wait_again().await?,
            opened => return Ok((opened, Some(pass))),
        }
    }
}

/// Returns what began the stream that a request resumes, if the route still leads to its service.
async fn find_origin(
    entry: &Entry,
    route: &Route,
    resumption: &Resumption,
) -> Option<StreamOrigin> {
    let origin = entry.origins.find(resumption.stream.as_ref()?).await?;
    origin.is_target_of(route).then_some(origin)
}

/// Refuses to resume a stream that is not known.
fn unknown_stream(
    entry: &Entry,
    head: &RequestHead,
    route: &Route,
    resumption: &Resumption,
) -> EntryResponse {
    entry.metrics.record_refusal("unknown-stream");
    let took = now().since(head.arrived);
    event(log::Level::Info, "stream", || {
        format!(
            "request={} route={} outcome=unknown-stream took={took}{}",
            head.id,
            route.name,
            resumption.pairs()
        )
    });
    full(response::refusal(UNKNOWN_RETRY_AFTER))
}

/// Records what has begun a stream, before its first event is relayed. A resumption is recorded
/// under what began the first attempt, since some clients name the attempt that they held last.
async fn record_origin(entry: &Entry, stream: &EventStream, req: &CallRequest) {
    let is_stream = stream.head().is_some_and(|head| head.status.is_success());
    let Some(endpoint) = stream.endpoint().filter(|_| is_stream) else {
        return;
    };
    let origin = match &req.resumes {
        Some(origin) => origin.clone(),
        None => StreamOrigin::of(endpoint),
    };
    let view = entry.view.get();
    let listed = view.endpoints.get(&endpoint.instance);
    if listed.is_some_and(|listed| origin.is_doubted_by(listed)) {
        // Its list entry has changed since the endpoint was chosen.
        event(log::Level::Info, "stream-origin-doubted", || {
            format!(
                "request={} instance={} reason=\"listed again\"",
                req.id, endpoint.instance
            )
        });
        return;
    }
    let started_at = now();
    entry.origins.record(&req.id, origin).await;
    let took = now().since(started_at);
    entry.metrics.record_latency("stream-record", took);
}

fn log_stream(
    req: &CallRequest,
    route: &Route,
    result: &str,
    took: Millis,
    endpoint: Option<&EndpointEntry>,
    resumption: Option<&Resumption>,
) {
    event(log::Level::Info, "stream", || {
        format!(
            "request={} route={} outcome={result} took={took}{}{}",
            req.id,
            route.name,
            endpoint.map(endpoint_pairs).unwrap_or_default(),
            resumption.map(Resumption::pairs).unwrap_or_default()
        )
    });
}

/// Returns the pairs of a log line that name the endpoint of a stream.
fn endpoint_pairs(endpoint: &EndpointEntry) -> String {
    let software = endpoint.software.as_deref().unwrap_or("unknown");
    format!(" instance={} software={software}", endpoint.instance)
}
