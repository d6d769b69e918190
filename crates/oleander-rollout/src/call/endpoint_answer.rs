//! What one endpoint made of a call.

use crate::prelude::*;
use http::StatusCode;
use http::response::Parts;
use oleander_platform::headers;

/// An endpoint's whole answer.
#[derive(Debug)]
pub struct EndpointAnswer {
    /// Status and headers.
    pub head: Parts,
    /// Whole body.
    pub body: Bytes,
    /// Endpoints that answered with 500, this one included.
    pub failures: u32,
}

/// How an answer is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the endpoint's answer to this call.
    Answer,
    /// It is the endpoint's failure after it ran the call.
    Failure,
    /// The endpoint says that it did not run the call because it is full or leaving.
    NotRun,
    /// Another instance has the address; it did not run the call.
    OtherInstance,
    /// It is not an answer to this call.
    Foreign,
    /// Its status promises that the call did not run, but the endpoint does not say so.
    Unclear,
}

/// Statuses that promise a caller that its call has not run.
const PROMISES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Says how the head of an answer to the call `id` is to be taken.
pub fn judge(head: &Parts, id: &str) -> Verdict {
    let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::OtherInstance;
    }
    if header(headers::NOT_RUN).is_some() {
        return Verdict::NotRun;
    }
    if header(headers::REQUEST_ID).is_some_and(|echoed| echoed != id) {
        return Verdict::Foreign;
    }
    if PROMISES.contains(&head.status) {
        return Verdict::Unclear;
    }
    if head.status.is_server_error() {
        return Verdict::Failure;
    }
    if head.status.is_success() && header(headers::SIGNATURE).is_none() {
        return Verdict::Foreign;
    }
    Verdict::Answer
}
