//! One object of the result log.

use super::sample::Sample;
use serde::{Deserialize, Serialize};

/// One object of the result log. It is created once and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultChunk {
    /// Position of the chunk in the log, from 0.
    pub index: u64,
    /// Dispatcher that wrote it, with a number of its own, so that the writer knows its own
    /// chunk again after a lost answer.
    pub writer: String,
    /// Unix time of the write in milliseconds.
    pub written_unix_ms: u64,
    /// The results, in listed order.
    pub samples: Vec<Sample>,
}
