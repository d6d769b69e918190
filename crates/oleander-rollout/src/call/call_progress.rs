//! The state of a call between its attempts.

use super::candidate_set::CandidateSet;
use super::endpoint_response::EndpointResponse;
use crate::prelude::*;

/// The state of a call between its attempts.
#[derive(Debug, Default)]
pub(super) struct CallProgress {
    /// Instances of the endpoints that have been tried.
    pub(super) tried: Vec<String>,
    /// Attempts that ran, may have run or are running.
    pub(super) attempts_made: u32,
    /// Whether an endpoint may have run the call.
    pub(super) may_have_run: bool,
    /// Responses with status 500.
    pub(super) failures: u32,
    /// The last response of an endpoint that failed.
    pub(super) failure: Option<EndpointResponse>,
    /// Whether the response to the last attempt was lost, broken or belonged to another call.
    pub(super) response_lost: bool,
    /// Whether an endpoint has refused the call as full.
    pub(super) full: bool,
    /// Endpoints that have crashed under the call.
    pub(super) crashes: usize,
    /// How long until an endpoint may take the call, if rate limits alone keep all from it.
    pub(super) limit_delay: Option<Millis>,
}

impl CallProgress {
    /// After a lost response, an endpoint that has been tried may be used again.
    pub(super) fn candidates(&self) -> CandidateSet {
        if self.response_lost {
            CandidateSet::All
        } else {
            CandidateSet::Untried
        }
    }
}
