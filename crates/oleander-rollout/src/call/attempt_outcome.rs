//! Outcome of one attempt of a call.

use super::endpoint_response::EndpointResponse;

/// Outcome of one attempt.
pub(super) enum AttemptOutcome {
    Answer(EndpointResponse),
    /// The endpoint ran the call and failed.
    Failure(EndpointResponse),
    /// The endpoint has not run the call, for this reason.
    NotRun(&'static str),
    /// The connection broke before the response, and the endpoint no longer accepts connections.
    Crashed,
    /// The endpoint may have run the call, but its response is lost for this reason.
    Lost(String),
    /// The endpoint may have run the call, but its response can't be used for this reason.
    Unusable(String),
}
