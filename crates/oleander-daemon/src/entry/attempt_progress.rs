//! Progress of the attempts of one request, shared with the step that waits for it.

use crate::prelude::*;
use oleanderlock::endpoint::EndpointKey;
use parking_lot::Mutex;
use std::sync::Arc;

/// How far the latest attempt of a request is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// When it began; `None` before an endpoint was chosen.
    pub began_at: Option<Millis>,
    /// The endpoint that it uses.
    pub endpoint: Option<EndpointKey>,
    /// When its first token came.
    pub first_token_at: Option<Millis>,
    /// When its latest token came.
    pub latest_token_at: Option<Millis>,
    /// Tokens that it has made.
    pub tokens: u64,
    /// Oldest version that made them, as far as it is known.
    pub oldest_version: Option<Version>,
}

/// A shared view of the progress of one request; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct AttemptProgress(Arc<Mutex<Progress>>);

impl AttemptProgress {
    /// Notes that an attempt begins at an endpoint.
    pub fn begin(&self, now: Millis, endpoint: EndpointKey) {
        *self.0.lock() = Progress {
            began_at: Some(now),
            endpoint: Some(endpoint),
            ..Progress::default()
        };
    }

    /// Notes the tokens of a chunk.
    pub fn add_tokens(&self, now: Millis, tokens: u64) {
        let mut progress = self.0.lock();
        progress.first_token_at.get_or_insert(now);
        progress.latest_token_at = Some(now);
        progress.tokens += tokens;
    }

    /// Notes a version that made some of the tokens.
    pub fn record_version(&self, version: Version) {
        let mut progress = self.0.lock();
        let oldest = progress
            .oldest_version
            .map_or(version, |oldest| oldest.min(version));
        progress.oldest_version = Some(oldest);
    }

    /// Returns how far the latest attempt is.
    pub fn get(&self) -> Progress {
        *self.0.lock()
    }
}
