//! The result of one item.

use super::item_key::ItemKey;
use super::sample_end::SampleEnd;
use serde::{Deserialize, Serialize};

/// The result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Key of the item.
    pub key: ItemKey,
    /// How it ended.
    pub end: SampleEnd,
}

impl Sample {
    /// Returns the approximate size of the stored sample in bytes.
    pub fn size_bytes(&self) -> usize {
        let text = match &self.end {
            SampleEnd::Done { text, .. } => text.size_bytes(),
            SampleEnd::GivenUp => 0,
        };
        text + self.key.job.len() + self.key.item.len() + SAMPLE_OVERHEAD_BYTES
    }
}

/// Approximate bytes of names, versions and score that a stored sample takes besides its text.
const SAMPLE_OVERHEAD_BYTES: usize = 200;
