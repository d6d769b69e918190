//! Errors of the attribution of an answer.

use derive_more::{Display, Error};

/// Why segments are not a valid attribution of an answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum AttributionError {
    /// A segment has no tokens.
    #[display("segment at token {first} is empty")]
    Empty {
        /// Offset of the segment.
        first: u64,
    },
    /// No segment covers the tokens from `expected` to `first`.
    #[display("tokens {expected}..{first} have no segment")]
    Gap {
        /// Offset at which the next segment must start.
        expected: u64,
        /// Offset at which it starts, or the end of the range to cover.
        first: u64,
    },
    /// Tokens are covered twice, or lie after the end of the range to cover.
    #[display("tokens {first}..{expected} have two segments or lie beyond the end")]
    Overlap {
        /// Offset at which the next segment must start, or the end of the last segment.
        expected: u64,
        /// Offset at which it starts, or the end of the range to cover.
        first: u64,
    },
    /// The version that generated a segment is unknown.
    #[display("the version of the tokens from {first} is unknown")]
    UnknownVersion {
        /// Offset of the segment.
        first: u64,
    },
}
