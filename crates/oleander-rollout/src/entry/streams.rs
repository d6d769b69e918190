//! Streams of events, relayed as they arrive.

use super::body::{BodyError, EntryResponse, full, streamed};
use super::calls::call_request;
use super::entry_process::Entry;
use super::request_head::RequestHead;
use crate::call::stream_outcome::StreamOutcome;
use crate::http::exchange::Exchange;
use crate::http::hop_headers;
use crate::http::response;
use crate::prelude::*;
use futures_util::StreamExt as _;
use futures_util::stream::unfold;
use http::request::Parts;
use http::{Response, StatusCode};
use hyper::body::Frame;
use oleanderlock::routing::retry_rule::retry_after;
use oleanderlock::routing::route::Route;

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
        StreamOutcome::Opened(exchange) => ("opened", relay(*exchange)),
        StreamOutcome::NotRun(after) => {
            let refusal = response::refusal(after.max(retry_after(left)));
            ("not-run", full(refusal))
        }
        StreamOutcome::Unknown => ("unknown", full(response::status(StatusCode::BAD_GATEWAY))),
    };
    if result != "opened" {
        entry.metrics.record_refusal(result);
    }
    event(log::Level::Info, "stream", || {
        format!(
            "request={} route={} outcome={result} took={took}",
            req.id, route.name
        )
    });
    response
}

/// Relays the chunks of a response as they arrive; if the endpoint breaks off, so does the response
/// to the client.
fn relay(exchange: Exchange) -> EntryResponse {
    let mut head = Response::new(());
    *head.status_mut() = exchange.head.status;
    *head.headers_mut() = exchange.head.headers.clone();
    hop_headers::remove(head.headers_mut());
    let chunks = unfold(Some(exchange), |exchange| async move {
        let mut exchange = exchange?;
        match exchange.next_chunk().await {
            Ok(Some(chunk)) => Some((Ok(Frame::data(chunk)), Some(exchange))),
            Ok(None) => None,
            Err(error) => Some((Err(BodyError::from(error)), None)),
        }
    });
    streamed(head, chunks.boxed_local())
}
