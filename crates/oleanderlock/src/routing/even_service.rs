//! What a process knows of the endpoints of one service, for the even choice.

use super::even_endpoint::EvenEndpoint;
use crate::affinity_score::{hash_bytes, score};
use crate::prelude::*;
use indexmap::IndexMap;

/// Time constant of the count of recent calls, in milliseconds; an idle connection is kept for about
/// as long.
const RECENT_CALLS_MS: f64 = 4_000.0;
/// Most endpoints that are remembered; the one that was added first is removed first.
const ENDPOINTS_MAX: usize = 4096;

/// What a process knows of the endpoints of one service, by instance id.
///
/// Memory is bounded by [`ENDPOINTS_MAX`] instance ids.
#[derive(Clone, Debug, Default)]
pub struct EvenService {
    endpoints: IndexMap<String, EvenEndpoint>,
    recent_calls: f64,
    counted_at: Millis,
}

impl EvenService {
    /// Returns what is known of an endpoint; one that is new starts with a random part of a turn, so
    /// that processes that start together do not call the endpoints in the same order.
    pub fn endpoint(&mut self, instance: &str, draw: u64) -> &mut EvenEndpoint {
        if !self.endpoints.contains_key(instance) {
            if self.endpoints.len() >= ENDPOINTS_MAX {
                self.endpoints.shift_remove_index(0);
            }
            let credit = unit(score(draw, hash_bytes(instance.as_bytes()))) - 0.5;
            let new = EvenEndpoint::new(instance, credit);
            self.endpoints.insert(instance.to_owned(), new);
        }
        &mut self.endpoints[instance]
    }

    /// Returns what is known of an endpoint, if it has been considered before.
    pub fn known(&self, instance: &str) -> Option<&EvenEndpoint> {
        self.endpoints.get(instance)
    }

    /// Updates what is known of an endpoint, if it has been considered before.
    pub fn update(&mut self, instance: &str, update: impl FnOnce(&mut EvenEndpoint)) {
        if let Some(endpoint) = self.endpoints.get_mut(instance) {
            update(endpoint);
        }
    }

    /// Counts a call, and returns about how many there were within the time for which an idle
    /// connection is kept.
    pub(super) fn count_call(&mut self, now: Millis) -> f64 {
        let gap_ms = now.since(self.counted_at).0 as f64;
        self.recent_calls = self.recent_calls * (-gap_ms / RECENT_CALLS_MS).exp() + 1.0;
        self.counted_at = now;
        self.recent_calls
    }
}

/// Maps a random number to the range from 0 to 1.
pub(super) fn unit(draw: u64) -> f64 {
    (draw >> 11) as f64 / (1u64 << 53) as f64
}
