//! The relation of a request to others.

use crate::entry::attempt_progress::AttemptProgress;
use crate::prelude::*;
use oleanderlock::endpoint::EndpointKey;

/// What a request shares with its step and with other requests for the same sample.
#[derive(Clone, Debug, Default)]
pub struct Tracking {
    /// Gets the progress of the request's latest attempt.
    pub progress: AttemptProgress,
    /// Endpoints that other requests for the same sample use.
    pub avoid: Vec<EndpointKey>,
    /// Version that a sample should have at least.
    pub min_version: Option<Version>,
}
