//! Answers that this process gives.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::Full;
use oleanderlock::prelude::*;

/// An answer with its whole body.
pub type FullResponse = Response<Full<Bytes>>;

/// Returns an answer without a body.
pub fn status(status: StatusCode) -> FullResponse {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

/// Returns an answer with a JSON body.
pub fn json(body: impl Into<Bytes>) -> FullResponse {
    let mut answer = Response::new(Full::new(body.into()));
    let value = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, value);
    answer
}

/// Returns an answer with a body of bytes.
pub fn bytes(body: impl Into<Bytes>) -> FullResponse {
    Response::new(Full::new(body.into()))
}

/// Returns a refusal: the request has not run and will not run; the caller may come back after
/// this time.
pub fn refusal(retry_after: Millis) -> FullResponse {
    let mut answer = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{}.{:03}", retry_after.0 / 1000, retry_after.0 % 1000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}
