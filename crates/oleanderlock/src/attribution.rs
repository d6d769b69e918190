//! Which weight versions generated an answer, by token range.

use crate::attribution_error::AttributionError;
use crate::prelude::*;
use crate::segment::Segment;
use serde::{Deserialize, Serialize};

/// Contiguous segments from token 0 on; adjacent segments differ in version.
///
/// The number of segments is bounded by the number of weight swaps during the answer.
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

    /// Appends a segment, which must start where the last one ends; merges the two if both have
    /// the same version.
    pub fn append(&mut self, segment: Segment) -> Result<(), AttributionError> {
        check_start(self.end(), segment.first)?;
        check_tokens(&segment)?;
        match self.segments.last_mut() {
            Some(last) if last.version == segment.version => last.end = segment.end,
            _ => self.segments.push(segment),
        }
        Ok(())
    }

    /// Appends the segments of a chunk that covers `first..end`; appends none on an error.
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

    /// Returns the oldest version.
    ///
    /// # Errors
    ///
    /// A version is unknown, or there are no segments.
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
