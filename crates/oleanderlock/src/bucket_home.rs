//! The entry at which the bindings of a bucket are best written.

use crate::prelude::*;

/// Returns the entry with the greatest rendezvous hash for a bucket; `None` if there is none.
///
/// Only an optimisation: entries whose views differ choose different homes, and the conditional
/// write keeps the binding right.
pub fn bucket_home(bucket: u32, entries: &[Incarnation]) -> Option<Incarnation> {
    let weight = |entry: &Incarnation| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&bucket.to_be_bytes());
        hasher.update(&entry.0.to_be_bytes());
        *hasher.finalize().as_bytes()
    };
    entries.iter().copied().max_by_key(weight)
}
