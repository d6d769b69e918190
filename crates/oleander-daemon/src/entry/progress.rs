//! The progress of an attempt.

use crate::prelude::*;
use oleanderlock::endpoint::EndpointKey;

/// The progress of the latest attempt of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// When the attempt began; `None` until an endpoint is chosen.
    pub began_at: Option<Millis>,
    /// Where it runs; `None` until an endpoint is chosen.
    pub endpoint: Option<EndpointKey>,
    /// When its first chunk arrived.
    pub first_token_at: Option<Millis>,
    /// When its latest chunk arrived.
    pub latest_token_at: Option<Millis>,
    /// Tokens that have arrived.
    pub tokens: u64,
    /// Oldest weight version that made any of them; `None` while none is known.
    pub oldest_version: Option<Version>,
}
