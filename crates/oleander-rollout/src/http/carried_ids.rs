//! The requests that a connection has carried.
//!
//! An endpoint may send a response twice, the second time late, where the response to a later request
//! is expected. The copy bears the id of its request: it is told from the response to any other
//! request, but not from the response to the same request when that is sent again.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash as _, Hasher as _};

/// Requests that one connection carries at most; it is closed after them.
const CARRIED_MAX: usize = 256;

/// The requests that a connection has carried, as hashes of their ids. Two ids with the same hash cost
/// a new connection.
#[derive(Debug, Default)]
pub(super) struct CarriedIds(Vec<u64>);

impl CarriedIds {
    /// Whether a request with this id may be sent: none with the same id has been.
    pub(super) fn allows(&self, id: &str) -> bool {
        !self.0.contains(&hash(id))
    }

    /// Adds a request that is about to be sent.
    pub(super) fn add(&mut self, id: &str) {
        self.0.push(hash(id));
    }

    /// Whether the connection has carried as many requests as it may.
    pub(super) fn is_full(&self) -> bool {
        self.0.len() >= CARRIED_MAX
    }
}

fn hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
