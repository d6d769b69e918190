//! Durations of a lease.

use crate::prelude::*;

/// Durations of a lease; all contenders must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTerm {
    /// Time after a renewal until another contender may take the lease.
    pub length: Millis,
    /// Time before the end of the lease at which the holder stops acting. Covers the drift of the
    /// clocks during `length`, and the time from a check of the lease to the effect of the order.
    pub margin: Millis,
    /// Interval between renewals.
    pub renew: Millis,
}

impl Default for LeaseTerm {
    fn default() -> Self {
        Self {
            length: Millis::from_secs(6),
            margin: Millis::from_secs(2),
            renew: Millis::from_secs(2),
        }
    }
}
