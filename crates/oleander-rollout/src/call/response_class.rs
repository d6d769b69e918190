//! What the head of an endpoint's response means for a call.

use crate::http::exchange::Exchange;
use http::StatusCode;
use oleander_platform::headers;

/// What the head of an endpoint's response means for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The endpoint has run the call, and this is its response.
    Answer,
    /// The endpoint has run the call and failed.
    Failure,
    /// The endpoint states that it has not run the call, because it is full or draining.
    NotRun,
    /// Another instance uses the address now, and has not run the call.
    OtherInstance,
    /// The response belongs to another call, or may do so because it names none, or is successful
    /// without the headers that every successful response of an endpoint has.
    Foreign,
    /// The status promises that the call has not run, but the header that states it is missing.
    Unclear,
}

impl ResponseClass {
    /// Whether the response is one of the endpoint to the call, so that its other headers hold for
    /// the endpoint.
    pub fn is_of_endpoint(self) -> bool {
        !matches!(self, Self::OtherInstance | Self::Foreign)
    }
}

/// Statuses by which a caller may assume that its call has not run.
const NOT_RUN_STATUSES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Classifies the head of the response to the call `id`.
pub fn classify(response: &Exchange, id: &str) -> ResponseClass {
    let head = &response.head;
    // First, because the late copy of a refusal says nothing about this call.
    if !response.may_answer(id) {
        return ResponseClass::Foreign;
    }
    let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    let echoed = header(headers::REQUEST_ID);
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::OtherInstance;
    }
    if header(headers::NOT_RUN).is_some() {
        return ResponseClass::NotRun;
    }
    if NOT_RUN_STATUSES.contains(&head.status) {
        return ResponseClass::Unclear;
    }
    if head.status.is_server_error() {
        return ResponseClass::Failure;
    }
    if head.status.is_success() && (echoed.is_none() || header(headers::SIGNATURE).is_none()) {
        return ResponseClass::Foreign;
    }
    ResponseClass::Answer
}
