//! The point at which a streamed answer continues.

use bytes::Bytes;

/// The point at which another attempt continues.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ResumePoint {
    /// Number of contiguous tokens received, which is the offset of the next token.
    pub offset: u64,
    /// Text of those tokens.
    pub text: Bytes,
}
