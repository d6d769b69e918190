//! The end of an attempt at an endpoint.

use crate::prelude::*;
use oleanderlock::attempt_end::AttemptEnd;
use oleanderlock::endpoint::EndpointKey;
use oleanderlock::load::Load;

/// The end of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteEnd {
    /// The endpoint.
    pub key: EndpointKey,
    /// How it ended.
    pub end: AttemptEnd,
    /// Load that the agent sent with the answer.
    pub load: Option<Load>,
    /// Time from the last reported progress, or else from the first chunk, to the end.
    pub elapsed: Millis,
    /// Tokens made in that time, 1 for a plain call; with 0 the pace is not recorded.
    pub units: u64,
}
