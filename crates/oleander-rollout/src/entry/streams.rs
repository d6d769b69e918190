//! Streams of events, relayed as they arrive.

use super::body::{BodyError, EntryResponse, full, streamed};
use super::calls::call_request;
use super::entry_process::Entry;
use super::request_head::RequestHead;
use crate::call::call_request::CallRequest;
use crate::call::opened_stream::OpenedStream;
use crate::call::stream_outcome::StreamOutcome;
use crate::http::exchange::Exchange;
use crate::http::hop_headers;
use crate::http::response;
use crate::http::send_error::SendError;
use crate::prelude::*;
use futures_util::StreamExt as _;
use futures_util::stream::unfold;
use http::request::Parts;
use http::{Response, StatusCode};
use hyper::body::Frame;
use oleanderlock::routing::retry_rule::retry_after;
use oleanderlock::routing::route::Route;
use oleanderlock::routing::stall_clock::StallClock;
use std::rc::Rc;

/// A stream without an event for this many latency objectives is stalled; clients leave after four.
const STALL_OBJECTIVES: u64 = 5;
/// Shortest time without an event after which a stream is stalled.
const STALL_MIN: Millis = Millis(10_000);

/// Opens a stream at the service of a route and relays it.
pub async fn handle(
    entry: &Entry,
    head: &RequestHead,
    route: &Route,
    parts: &Parts,
    body: Bytes,
) -> EntryResponse {
    let Some(req) = call_request(entry, head, route, parts, body) else {
        return full(response::refusal(retry_after(route.timeout)));
    };
    let outcome = entry.caller.open_stream(&req).await;
    let took = now().since(head.arrived);
    entry.metrics.record_latency("first-event", took);
    let left = req.deadline.since(now());
    let (result, response) = match outcome {
        StreamOutcome::Opened(opened) => {
            let limit = Millis(route.objective.0.saturating_mul(STALL_OBJECTIVES)).max(STALL_MIN);
            let response = relay(*opened, entry, &req, limit);
            ("opened".to_owned(), response)
        }
        StreamOutcome::NotRun(not_run) => {
            let after = not_run.retry_after.max(retry_after(left));
            (not_run.reason.to_string(), full(response::refusal(after)))
        }
        StreamOutcome::Unknown => {
            let response = full(response::status(StatusCode::BAD_GATEWAY));
            ("unknown".to_owned(), response)
        }
    };
    if result != "opened" {
        entry.metrics.record_refusal(&result);
    }
    event(log::Level::Info, "stream", || {
        format!(
            "request={} route={} outcome={result} took={took}",
            req.id, route.name
        )
    });
    response
}

/// Relays the chunks of a response as they arrive; if the endpoint breaks off or sends no event for
/// `stall_limit`, the response to the client breaks off.
fn relay(
    opened: OpenedStream,
    entry: &Entry,
    req: &CallRequest,
    stall_limit: Millis,
) -> EntryResponse {
    let OpenedStream { exchange, endpoint } = opened;
    let mut head = Response::new(());
    *head.status_mut() = exchange.head.status;
    *head.headers_mut() = exchange.head.headers.clone();
    hop_headers::remove(head.headers_mut());
    let clock = StallClock::new(now(), stall_limit);
    let caller = Rc::clone(&entry.caller);
    let req = Rc::new(req.clone());
    let chunks = unfold(Some((exchange, clock)), move |state| {
        let (caller, req, endpoint) = (Rc::clone(&caller), Rc::clone(&req), endpoint.clone());
        async move {
            let (mut exchange, mut clock) = state?;
            match next_chunk(&mut exchange, &mut clock, &req.id).await {
                Ok(Some(chunk)) => Some((Ok(Frame::data(chunk)), Some((exchange, clock)))),
                Ok(None) => {
                    caller.record_success(&req);
                    None
                }
                Err(error) => {
                    spawn(async move { caller.check_broken_stream(&req, &endpoint).await });
                    Some((Err(BodyError::from(error)), None))
                }
            }
        }
    });
    streamed(head, chunks.boxed_local())
}

/// Returns the next chunk of a stream, or an error when the stream has broken off or is stalled.
async fn next_chunk(
    exchange: &mut Exchange,
    clock: &mut StallClock,
    id: &str,
) -> Result<Option<Bytes>, SendError> {
    let Some(chunk) = within(clock.left(now()), exchange.next_chunk()).await else {
        event(log::Level::Warn, "stream-stalled", || {
            format!("request={id}")
        });
        return Err(SendError::no_answer("stalled"));
    };
    let chunk = chunk?;
    if let Some(chunk) = &chunk {
        clock.push(now(), chunk);
    }
    Ok(chunk)
}
