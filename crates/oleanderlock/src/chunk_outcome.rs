//! How a chunk of a streamed answer was processed.

use derive_more::Display;

/// How a chunk or an end mark was processed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum ChunkOutcome {
    /// It extends the answer, or is its first end mark.
    #[display("accepted")]
    Accepted,
    /// It is buffered until the tokens before it arrive.
    #[display("buffered")]
    Buffered,
    /// It was received before.
    #[display("duplicate")]
    Duplicate,
    /// It belongs to another attempt and was dropped.
    #[display("other attempt")]
    OtherAttempt,
}
