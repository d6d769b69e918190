//! A listed result, in memory or only in its chunk.

use super::sample::Sample;
use std::sync::Arc;

/// A listed result, in memory or only in its chunk.
#[derive(Clone, Debug)]
pub(super) struct ListedResult {
    /// Number of the chunk that holds the result.
    pub chunk: u64,
    /// Approximate size of the result in bytes.
    pub bytes: usize,
    /// The result; `None` while it is only in its chunk.
    pub sample: Option<Arc<Sample>>,
}

impl ListedResult {
    /// Returns a result of chunk number `chunk` that is in memory.
    pub fn new(chunk: u64, sample: &Sample) -> Self {
        Self {
            chunk,
            bytes: sample.size_bytes(),
            sample: Some(Arc::new(sample.clone())),
        }
    }
}
