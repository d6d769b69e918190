//! Bodies of requests that are refused before they are read.

use crate::prelude::*;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Time for the rest of an unread body, after which its connection is closed.
const READ_TIMEOUT: Millis = Millis::from_secs(5);

/// Reads and drops a body of at most `max_bytes`, so that the next request of the connection can be
/// read. A longer or slower body is abandoned, which closes the connection.
pub fn spawn_drop(body: Incoming, max_bytes: usize) {
    if !body.is_end_stream() {
        spawn(async move {
            within(READ_TIMEOUT, read(body, max_bytes)).await;
        });
    }
}

async fn read(mut body: Incoming, max_bytes: usize) {
    let mut bytes = 0;
    // A broken body ends its connection, which logs it.
    while let Some(Ok(frame)) = body.frame().await {
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if bytes > max_bytes {
            return;
        }
    }
}
