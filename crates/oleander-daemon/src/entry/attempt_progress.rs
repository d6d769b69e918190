//! Progress of the attempts of one request, shared with the step that the request is part of.

use crate::entry::progress::Progress;
use crate::prelude::*;
use oleanderlock::endpoint::EndpointKey;
use parking_lot::Mutex;
use std::sync::Arc;

/// A shared view of the progress of one request; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct AttemptProgress(Arc<Mutex<Progress>>);

impl AttemptProgress {
    /// Starts an attempt at an endpoint, which resets the progress.
    pub fn begin(&self, now: Millis, endpoint: EndpointKey) {
        *self.0.lock() = Progress {
            began_at: Some(now),
            endpoint: Some(endpoint),
            ..Progress::default()
        };
    }

    /// Adds the tokens of a chunk that arrived at `now`.
    pub fn add_tokens(&self, now: Millis, tokens: u64) {
        let mut progress = self.0.lock();
        progress.first_token_at.get_or_insert(now);
        progress.latest_token_at = Some(now);
        progress.tokens += tokens;
    }

    /// Records a weight version that made some of the tokens.
    pub fn record_version(&self, version: Version) {
        let mut progress = self.0.lock();
        let oldest = progress
            .oldest_version
            .map_or(version, |oldest| oldest.min(version));
        progress.oldest_version = Some(oldest);
    }

    /// Returns the progress of the latest attempt.
    pub fn get(&self) -> Progress {
        *self.0.lock()
    }
}
