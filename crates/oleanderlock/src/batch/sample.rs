//! The result of one item.

use super::item_key::ItemKey;
use super::sample_end::SampleEnd;
use serde::{Deserialize, Serialize};

/// The result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The item.
    pub key: ItemKey,
    /// How it ended.
    pub end: SampleEnd,
}

impl Sample {
    /// Returns about how many bytes the sample takes when it is written.
    pub fn size(&self) -> usize {
        let text = match &self.end {
            SampleEnd::Done { text, .. } => text.len(),
            SampleEnd::GivenUp => 0,
        };
        text + self.key.job.len() + self.key.item.len() + SAMPLE_OVERHEAD_BYTES
    }
}

/// Bytes of names, versions and score around the text of a written sample.
const SAMPLE_OVERHEAD_BYTES: usize = 200;
