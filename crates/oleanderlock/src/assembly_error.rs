//! Why a streamed answer can't be put together.

use crate::attribution::AttributionError;
use derive_more::{Display, Error, From};

/// Why a chunk, an end mark or an attempt can't be used.
#[derive(Clone, Copy, Debug, Display, Error, From, PartialEq, Eq, Hash)]
pub enum AssemblyError {
    /// The chunk has no tokens.
    #[display("the chunk has no tokens")]
    EmptyChunk,
    /// The chunk covers some tokens again, but not only those.
    #[display("the chunk overlaps others")]
    Overlap,
    /// More out-of-order data than may be buffered.
    #[display("too much data out of order")]
    TooFarAhead,
    /// The answer is larger than the limit.
    #[display("the answer is larger than the limit")]
    TooLarge,
    /// There are tokens after the end, or the end moved.
    #[display("the end mark contradicts the chunks or another end mark")]
    WrongEnd,
    /// The segments don't cover the chunk.
    #[display("{_0}")]
    Attribution(AttributionError),
    /// The new attempt is not a later one of the same request.
    #[display("not a later attempt of the same request")]
    NotLater,
    /// The answer is whole; there is nothing to resume.
    #[display("the answer is whole")]
    AlreadyWhole,
    /// The caller has part of the answer, so that it can't start again.
    #[display("part of the answer has been released")]
    AlreadyReleased,
}
