//! Errors of reassembling a streamed answer.

use crate::attribution_error::AttributionError;
use derive_more::{Display, Error, From};

/// Why a chunk, an end mark or a new attempt was rejected.
#[derive(Clone, Copy, Debug, Display, Error, From, PartialEq, Eq, Hash)]
pub enum AssemblyError {
    /// The chunk has no tokens.
    #[display("the chunk has no tokens")]
    EmptyChunk,
    /// The chunk covers tokens that are known and tokens that are not.
    #[display("the chunk partly overlaps known chunks")]
    Overlap,
    /// The chunk would exceed [`pending_bytes`] or [`pending_chunks`].
    ///
    /// [`pending_bytes`]: crate::assembly_limits::AssemblyLimits::pending_bytes
    /// [`pending_chunks`]: crate::assembly_limits::AssemblyLimits::pending_chunks
    #[display("too much out-of-order data is buffered")]
    TooFarAhead,
    /// The answer would exceed [`answer_bytes`](crate::assembly_limits::AssemblyLimits::answer_bytes).
    #[display("the answer exceeds its limit in bytes")]
    TooLarge,
    /// A token lies after the end mark, or two end marks differ.
    #[display("the end mark contradicts the chunks or another end mark")]
    WrongEnd,
    /// The segments don't cover exactly the tokens of the chunk.
    #[display("{_0}")]
    Attribution(AttributionError),
    /// The new attempt is not a later attempt of the same request.
    #[display("the new attempt is not a later attempt of the same request")]
    NotLater,
    /// The answer is complete; there is nothing to resume.
    #[display("the answer is already complete")]
    AlreadyWhole,
    /// Part of the answer was released to the caller, so it can't be generated anew.
    #[display("part of the answer has already been released to the caller")]
    AlreadyReleased,
}
