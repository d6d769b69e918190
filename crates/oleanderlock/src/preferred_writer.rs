//! The entry at which the bindings of a bucket are best written.

use crate::affinity_score::{hash_bytes, score};
use crate::prelude::*;

/// Returns the entry with the greatest rendezvous hash for a bucket; `None` if there is none.
///
/// Only an optimisation: entries whose views differ choose different homes, and the conditional
/// write keeps the binding right.
pub fn preferred_writer(bucket: u32, entries: &[Incarnation]) -> Option<Incarnation> {
    let key = hash_bytes(&bucket.to_be_bytes());
    let weight = |entry: &Incarnation| score(key, entry.0);
    entries.iter().copied().max_by_key(weight)
}
