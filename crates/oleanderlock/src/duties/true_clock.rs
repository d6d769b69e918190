//! True time by a monotonic clock.

use crate::prelude::*;

/// True time as the sum of a monotonic clock and an offset.
///
/// The time of day is read once, so that a step of it moves no window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrueClock {
    offset_ms: i64,
}

impl TrueClock {
    /// Returns the clock that shows `unix_ms` at the time `now` of the monotonic clock.
    pub fn new(now: Millis, unix_ms: u64) -> Self {
        Self {
            offset_ms: unix_ms.cast_signed().wrapping_sub(now.0.cast_signed()),
        }
    }

    /// Returns the clock that is ahead of this one by `offset_ms`.
    #[must_use]
    pub fn corrected(self, offset_ms: i64) -> Self {
        Self {
            offset_ms: self.offset_ms.wrapping_add(offset_ms),
        }
    }

    /// Returns the Unix time in milliseconds at a time of the monotonic clock.
    pub fn unix_ms(self, at: Millis) -> u64 {
        at.0.saturating_add_signed(self.offset_ms)
    }

    /// Returns the offset to the monotonic clock in milliseconds.
    pub fn offset_ms(self) -> i64 {
        self.offset_ms
    }
}
