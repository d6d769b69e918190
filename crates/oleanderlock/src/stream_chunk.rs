//! Part of a streamed answer.

use crate::prelude::*;
use crate::segment::Segment;
use bytes::Bytes;

/// Consecutive tokens of an answer, as one attempt made them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamChunk {
    /// The attempt.
    pub ticket: Ticket,
    /// Offset of the first token.
    pub offset: u64,
    /// Number of tokens.
    pub tokens: u64,
    /// Text of the tokens.
    pub data: Bytes,
    /// The versions that made the tokens, by offset in the answer.
    pub segments: Vec<Segment>,
}

impl StreamChunk {
    /// Returns the offset after the last token.
    pub const fn end(&self) -> u64 {
        self.offset.saturating_add(self.tokens)
    }
}
