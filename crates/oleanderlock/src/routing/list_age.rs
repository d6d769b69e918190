//! How old a copy of the platform's endpoint list may become.
//!
//! Load pattern: endpoints leave, some of them without a notice, while the process that passes the
//! list on has lost touch with the platform but not with those that use its copy. The copy looks
//! complete to them, and only its age shows that it is not.

use crate::prelude::*;

/// Shortest time that is accepted for [`ListAgeLimits::new`]; shorter ones would mean a call every few
/// milliseconds.
const LEAVE_WITHIN_MIN: Millis = Millis(500);
/// Longest wait of a call for an update of the copy.
const UPDATE_WAIT_MAX: Millis = Millis(1000);
/// Parts of the time within which an endpoint must be left, in tenths: the wait of a watch, the wait
/// for an update, the age up to which the copy of another process replaces an own one, the age at which a
/// process reads the list itself, and the age up to which an entry is kept that has disappeared. A copy is confirmed as of the start of a watch, so it is two waits old
/// when the next watch ends.
const WATCH_TENTHS: u64 = 2;
const UPDATE_TENTHS: u64 = 3;
const TAKE_TENTHS: u64 = 6;
const MAX_AGE_TENTHS: u64 = 8;
const KEEP_MISSING_TENTHS: u64 = 9;

/// Limits on the age of a copy of the platform's endpoint list. The age is the time since the copy was
/// last known to be the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListAgeLimits {
    leave_within: Millis,
}

impl ListAgeLimits {
    /// Returns the limits that follow from the time within which an endpoint that is leaving must get
    /// no more requests.
    pub fn new(leave_within: Millis) -> Self {
        Self {
            leave_within: leave_within.max(LEAVE_WITHIN_MIN),
        }
    }

    /// Returns the longest wait of a call that watches the list, after which the copy is confirmed.
    pub fn watch_wait(self) -> Millis {
        self.tenths(WATCH_TENTHS)
    }

    /// Returns the longest wait of a call for an update of the copy.
    pub fn update_wait(self) -> Millis {
        self.tenths(UPDATE_TENTHS).min(UPDATE_WAIT_MAX)
    }

    /// Returns the age up to which the copy of another process may replace one that this process has read
    /// itself, although that is newer: from then on, the age of the copy taken counts.
    pub fn take_age(self) -> Millis {
        self.tenths(TAKE_TENTHS)
    }

    /// Returns the age at which a process that gets the list from another one reads it itself.
    pub fn max_age(self) -> Millis {
        self.tenths(MAX_AGE_TENTHS)
    }

    /// Returns for how much longer an entry is kept that has disappeared from the list, when the copy
    /// that contained it is of this age.
    pub fn keep_missing(self, age: Millis) -> Millis {
        self.tenths(KEEP_MISSING_TENTHS).since(age)
    }

    fn tenths(self, tenths: u64) -> Millis {
        Millis(self.leave_within.0 * tenths / 10)
    }
}
