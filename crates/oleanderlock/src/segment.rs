//! Tokens of an answer that one weight version generated.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// The tokens `first..end` of an answer and the weight version that generated them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Segment {
    /// The version; `None` if the engine did not know it.
    pub version: Option<Version>,
    /// Offset of the first token.
    pub first: u64,
    /// Offset after the last token.
    pub end: u64,
}

impl Segment {
    /// Returns a segment with a known version.
    pub const fn known(version: Version, first: u64, end: u64) -> Self {
        Self {
            version: Some(version),
            first,
            end,
        }
    }

    /// Returns a segment with an unknown version.
    pub const fn unknown(first: u64, end: u64) -> Self {
        Self {
            version: None,
            first,
            end,
        }
    }

    /// Returns the segment of a chunk from the versions that the engine reported before and after
    /// the chunk. The version is unknown unless both reports agree, since a swap may have happened
    /// in between.
    pub fn around(first: u64, end: u64, before: Option<Version>, after: Option<Version>) -> Self {
        let version = before.filter(|_| before == after);
        Self {
            version,
            first,
            end,
        }
    }

    /// Returns the number of tokens.
    pub const fn tokens(&self) -> u64 {
        self.end.saturating_sub(self.first)
    }
}
