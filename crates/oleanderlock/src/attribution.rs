//! Which weight versions made an answer, by token range.

use crate::prelude::*;
use crate::segment::Segment;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Why segments don't attribute an answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum AttributionError {
    /// A segment has no tokens.
    #[display("segment at token {first} is empty")]
    Empty {
        /// Offset of the segment.
        first: u64,
    },
    /// No segment covers the tokens in between.
    #[display("tokens {expected}..{first} have no segment")]
    Gap {
        /// Offset at which the next segment must start.
        expected: u64,
        /// Offset at which it starts, or the total.
        first: u64,
    },
    /// Tokens are covered twice, or lie beyond the total.
    #[display("tokens {first}..{expected} have two segments or lie beyond the end")]
    Overlap {
        /// Offset at which the next segment must start, or the covered end.
        expected: u64,
        /// Offset at which it starts, or the total.
        first: u64,
    },
    /// A segment was made by an unknown version.
    #[display("the version of the tokens from {first} is unknown")]
    UnknownVersion {
        /// Offset of the segment.
        first: u64,
    },
}

/// Contiguous segments from token 0 on; neighbours differ in version.
///
/// Bounded by the number of weight swaps during the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attribution {
    segments: Vec<Segment>,
}

impl Attribution {
    /// Returns the attribution of an answer without tokens.
    pub const fn new() -> Self {
        Self {
            segments: Vec::new(),
        }
    }

    /// Returns the segments in order.
    pub fn segments(&self) -> &[Segment] {
        &self.segments
    }

    /// Returns the offset after the last attributed token.
    pub fn end(&self) -> u64 {
        self.segments.last().map_or(0, |segment| segment.end)
    }

    /// Appends a segment that starts where the last one ends, and merges it with that one when
    /// both were made by the same version.
    pub fn append(&mut self, segment: Segment) -> Result<(), AttributionError> {
        check_start(self.end(), segment.first)?;
        check_tokens(&segment)?;
        match self.segments.last_mut() {
            Some(last) if last.version == segment.version => last.end = segment.end,
            _ => self.segments.push(segment),
        }
        Ok(())
    }

    /// Appends all segments of a chunk that covers `first..end`, or none of them on an error.
    pub fn append_all(
        &mut self,
        segments: &[Segment],
        first: u64,
        end: u64,
    ) -> Result<(), AttributionError> {
        check_start(self.end(), first)?;
        Self::check_chunk(segments, first, end)?;
        segments
            .iter()
            .try_for_each(|segment| self.append(*segment))
    }

    /// Checks that `segments` cover exactly `first..end`.
    pub fn check_chunk(segments: &[Segment], first: u64, end: u64) -> Result<(), AttributionError> {
        let mut expected = first;
        for segment in segments {
            check_start(expected, segment.first)?;
            check_tokens(segment)?;
            expected = segment.end;
        }
        check_start(expected, end)
    }

    /// Checks that the segments cover exactly `0..total`.
    pub fn check_cover(&self, total: u64) -> Result<(), AttributionError> {
        check_start(self.end(), total)
    }

    /// Returns the oldest version, or an error when any version is unknown or there is none.
    pub fn oldest(&self) -> Result<Version, AttributionError> {
        let mut oldest = None;
        for segment in &self.segments {
            let version = segment.version.ok_or(AttributionError::UnknownVersion {
                first: segment.first,
            })?;
            oldest = Some(oldest.map_or(version, |other: Version| other.min(version)));
        }
        oldest.ok_or(AttributionError::Empty { first: 0 })
    }
}

fn check_start(expected: u64, first: u64) -> Result<(), AttributionError> {
    match first.cmp(&expected) {
        std::cmp::Ordering::Equal => Ok(()),
        std::cmp::Ordering::Greater => Err(AttributionError::Gap { expected, first }),
        std::cmp::Ordering::Less => Err(AttributionError::Overlap { expected, first }),
    }
}

const fn check_tokens(segment: &Segment) -> Result<(), AttributionError> {
    match segment.tokens() {
        0 => Err(AttributionError::Empty {
            first: segment.first,
        }),
        _ => Ok(()),
    }
}
