//! Result of one probe of the leader.

use crate::prelude::*;

/// Result of one probe of the leader by a standby.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderProbe {
    /// No answer within the time limit.
    NoAnswer,
    /// The process answered, but does not lead or has another epoch.
    NotLeading,
    /// The process leads.
    Leading {
        /// Time since the store last answered the leader.
        store_age: Millis,
    },
}
