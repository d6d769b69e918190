//! Outcome of a call to a service.

use super::endpoint_response::EndpointResponse;
use super::not_run::NotRun;

/// Outcome of a call.
#[derive(Debug)]
pub enum CallOutcome {
    /// An endpoint responded, successfully or not.
    Answered(EndpointResponse),
    /// The call has not run.
    NotRun(NotRun),
    /// The call may have run, but its response is lost.
    Unknown,
    /// The deadline passed while an endpoint may have been running the call.
    TimedOut,
}
