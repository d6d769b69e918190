//! The entry that should write the bindings of a bucket.

use crate::affinity_score::{hash_bytes, score};
use crate::prelude::*;

/// Returns the entry with the greatest rendezvous hash for a bucket; `None` if `entries` is empty.
///
/// One writer for each bucket avoids conflicts, but is only an optimization: entries with different
/// views may choose different writers, and conditional writes still keep bindings consistent.
pub fn preferred_writer(bucket: u32, entries: &[Incarnation]) -> Option<Incarnation> {
    let key = hash_bytes(&bucket.to_be_bytes());
    let weight = |entry: &Incarnation| score(key, entry.0);
    entries.iter().copied().max_by_key(weight)
}
