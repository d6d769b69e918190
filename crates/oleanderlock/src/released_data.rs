//! Data of a streamed answer that is released to the caller.

use bytes::Bytes;

/// Contiguous data that is released to the caller for the first time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReleasedData {
    /// Offset of the first token.
    pub offset: u64,
    /// Number of tokens.
    pub tokens: u64,
    /// Text of the tokens.
    pub data: Bytes,
}
