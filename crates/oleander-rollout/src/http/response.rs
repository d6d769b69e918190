//! Responses of this process.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::Full;
use oleanderlock::prelude::*;

/// A response with its whole body.
pub type FullResponse = Response<Full<Bytes>>;

/// Returns a response without a body.
pub fn status(status: StatusCode) -> FullResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body.
pub fn json(body: impl Into<Bytes>) -> FullResponse {
    let mut response = Response::new(Full::new(body.into()));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Returns a response with a body and no content type.
pub fn bytes(body: impl Into<Bytes>) -> FullResponse {
    Response::new(Full::new(body.into()))
}

/// Returns a refusal with status 503: the request has not run and will not run, and the caller may
/// retry it after `retry_after`.
pub fn refusal(retry_after: Millis) -> FullResponse {
    let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = format!("{}.{:03}", retry_after.0 / 1000, retry_after.0 % 1000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
