//! An answer that is known to be whole.

use crate::attribution::{Attribution, AttributionError};
use bytes::Bytes;

/// All tokens of one answer, with the versions that made them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WholeAnswer {
    /// Text of the answer.
    pub data: Bytes,
    /// Number of tokens.
    pub tokens: u64,
    /// The versions that made the tokens.
    pub attribution: Attribution,
}

impl WholeAnswer {
    /// Checks that the segments cover all tokens, each exactly once.
    pub fn check_cover(&self) -> Result<(), AttributionError> {
        self.attribution.check_cover(self.tokens)
    }
}
