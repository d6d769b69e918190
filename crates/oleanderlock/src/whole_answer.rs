//! A complete answer of an engine.

use crate::attribution::Attribution;
use crate::attribution_error::AttributionError;
use bytes::Bytes;

/// A complete answer, with the weight versions that generated it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WholeAnswer {
    /// Text of the answer.
    pub data: Bytes,
    /// Number of tokens.
    pub tokens: u64,
    /// The weight version of each segment of tokens.
    pub attribution: Attribution,
}

impl WholeAnswer {
    /// Checks that the segments cover each token exactly once.
    ///
    /// # Errors
    ///
    /// The first gap, overlap or mismatch of the segments.
    pub fn check_cover(&self) -> Result<(), AttributionError> {
        self.attribution.check_cover(self.tokens)
    }
}
