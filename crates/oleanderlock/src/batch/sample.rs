//! The result of one item.

use super::item_key::ItemKey;
use serde::{Deserialize, Serialize};

/// How an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SampleEnd {
    /// The whole text was made and scored.
    Done {
        /// Data of all events, separated by line feeds.
        text: String,
        /// Weight versions that made the events, in order of first use.
        versions: Vec<u64>,
        /// Score of the text, where the job asked for one.
        score: Option<String>,
    },
    /// The item was given up.
    GivenUp,
}

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
