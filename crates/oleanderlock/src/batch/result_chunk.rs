//! Chunk of the result log.

use super::sample::Sample;
use serde::{Deserialize, Serialize};

/// One stored object of the result log; immutable once created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultChunk {
    /// Position of the chunk in the log, from 0.
    pub index: u64,
    /// Name of the writing dispatcher with a unique suffix, so that the writer recognises its own
    /// chunk after the answer to the write was lost.
    pub writer: String,
    /// Unix time of the write in milliseconds.
    pub written_unix_ms: u64,
    /// The results, in the order in which they are listed.
    pub samples: Vec<Sample>,
}
