//! Result of one probe of the leader.

use crate::prelude::*;

/// What a probe of the leader brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderProbe {
    /// No answer in time.
    NoAnswer,
    /// The process answers, but does not lead, or has another epoch.
    NotLeading,
    /// It leads; the store answered it this long ago.
    Leading {
        /// Age of the store's last answer to the leader.
        store_age: Millis,
    },
}
