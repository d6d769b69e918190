//! Division of time into the windows of usage reports.

use crate::prelude::*;

/// Division of time into windows of equal length; window 0 begins at the start of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageWindow {
    length_ms: u64,
}

impl UsageWindow {
    /// Returns windows of `length`, of at least one millisecond.
    pub fn new(length: Millis) -> Self {
        Self {
            length_ms: length.0.max(1),
        }
    }

    /// Returns the number of the window that contains a Unix time in milliseconds.
    pub fn at(self, unix_ms: u64) -> u64 {
        unix_ms / self.length_ms
    }

    /// Returns the Unix time in milliseconds at which a window ends.
    pub fn end(self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.length_ms)
    }
}
