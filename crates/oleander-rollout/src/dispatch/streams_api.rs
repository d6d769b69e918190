//! Calls of entries about what began a stream. Each dispatcher answers them, whether it leads or not.

use super::dispatcher::Dispatcher;
use super::http_api::{to_json, unreadable};
use crate::http::response::{self, FullResponse};
use crate::peer::messages::{StreamQuery, StreamRecord};
use http::StatusCode;

/// Records what began a stream.
pub fn record(dispatcher: &Dispatcher, body: &[u8]) -> FullResponse {
    let StreamRecord { stream, origin } = match serde_json::from_slice(body) {
        Ok(record) => record,
        Err(err) => return unreadable(&err),
    };
    dispatcher.origins.borrow_mut().record(&stream, origin);
    response::status(StatusCode::OK)
}

/// Answers what began a stream.
pub fn find(dispatcher: &Dispatcher, body: &[u8]) -> FullResponse {
    let query: StreamQuery = match serde_json::from_slice(body) {
        Ok(query) => query,
        Err(err) => return unreadable(&err),
    };
    let origins = dispatcher.origins.borrow();
    to_json(&origins.get(&query.stream))
}
