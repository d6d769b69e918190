//! Streams of events, passed on as they arrive.

use super::body::{BodyError, EntryResponse, relayed, whole};
use super::calls::request;
use super::entry_process::Entry;
use super::head::RequestHead;
use crate::call::caller::StreamOutcome;
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

/// Answers a request whose answer is a stream.
pub async fn handle(
    entry: &Entry,
    head: &RequestHead,
    route: &Route,
    parts: &Parts,
    body: Bytes,
) -> EntryResponse {
    let Some(req) = request(entry, head, route, parts, body) else {
        return whole(response::refusal(retry_after(route.timeout)));
    };
    let outcome = entry.caller.open_stream(&req).await;
    let took = now().since(head.arrived);
    entry.metrics.record_duration("first-event", took);
    let left = req.deadline.since(now());
    let (told, answer) = match outcome {
        StreamOutcome::Opened(exchange) => ("opened", relay(*exchange)),
        StreamOutcome::NotRun(after) => {
            let answer = response::refusal(after.max(retry_after(left)));
            ("not-run", whole(answer))
        }
        StreamOutcome::Unknown => ("unknown", whole(response::status(StatusCode::BAD_GATEWAY))),
    };
    if told != "opened" {
        entry.metrics.record_refusal(told);
    }
    event(log::Level::Info, "stream", || {
        format!(
            "request={} route={} outcome={told} took={took}",
            req.id, route.name
        )
    });
    answer
}

/// Passes pieces on as they arrive; when the endpoint breaks off, so does the answer.
fn relay(exchange: Exchange) -> EntryResponse {
    let mut head = Response::new(());
    *head.status_mut() = exchange.head.status;
    *head.headers_mut() = exchange.head.headers.clone();
    hop_headers::remove(head.headers_mut());
    let pieces = unfold(Some(exchange), |exchange| async move {
        let mut exchange = exchange?;
        match exchange.next_chunk().await {
            Ok(Some(piece)) => Some((Ok(Frame::data(piece)), Some(exchange))),
            Ok(None) => None,
            Err(fault) => Some((Err(BodyError::from(fault)), None)),
        }
    });
    relayed(head, pieces.boxed_local())
}
