//! When a copy of a part of the store was last known to be current.

use crate::prelude::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// When a copy of a part of the store was last known to be current, shared between threads; cheap to
/// clone.
///
/// A confirmation is recorded only after the copy contains what it is about.
#[derive(Clone, Debug, Default)]
pub struct Confirmation {
    // Milliseconds of the boot clock; 0 for never.
    at: Arc<AtomicU64>,
}

impl Confirmation {
    /// Records that the copy was current at the time `at`.
    pub fn record(&self, at: Millis) {
        self.at.fetch_max(at.0, Ordering::SeqCst);
    }

    /// Records that the copy has been replaced by one that was current at the time `at`.
    pub fn replace(&self, at: Millis) {
        self.at.store(at.0, Ordering::SeqCst);
    }

    /// Returns when the copy was last confirmed; `None` if it never was.
    pub fn at(&self) -> Option<Millis> {
        let at = self.at.load(Ordering::SeqCst);
        (at > 0).then_some(Millis(at))
    }

    /// Returns the time since the last confirmation; [`Millis::MAX`] without one.
    pub fn age(&self) -> Millis {
        self.at().map_or(Millis::MAX, |at| now().since(at))
    }

    /// Returns the last confirmation in milliseconds after `start`; negative if it was earlier.
    ///
    /// Another process gets it as an answer to a call that arrived at `start`.
    pub fn relative_to(&self, start: Millis) -> Option<i64> {
        let at = self.at()?;
        let distance = |later: Millis, earlier| i64::try_from(later.since(earlier).0).ok();
        if at >= start {
            distance(at, start)
        } else {
            distance(start, at).map(|distance| -distance)
        }
    }

    /// Records the confirmation of another process; see [`time_of`].
    pub fn record_relative(&self, sent_at: Millis, offset: i64) {
        self.record(time_of(sent_at, offset));
    }
}

/// Returns the time of a confirmation by another process, `offset` milliseconds after the arrival of a
/// call that this process sent at `sent_at`. It is taken for as old as it may be: the call may have
/// arrived at once.
pub fn time_of(sent_at: Millis, offset: i64) -> Millis {
    Millis(sent_at.0.saturating_add_signed(offset))
}
