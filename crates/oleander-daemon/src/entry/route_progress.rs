//! The progress of an attempt at an endpoint.

use crate::prelude::*;
use oleanderlock::endpoint::EndpointKey;

/// Progress of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteProgress {
    /// The endpoint.
    pub key: EndpointKey,
    /// Time since the progress that was last reported.
    pub elapsed: Millis,
    /// Tokens made in that time.
    pub units: u64,
}
