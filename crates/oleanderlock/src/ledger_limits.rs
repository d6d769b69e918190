//! Bounds of an attempt ledger.

use crate::prelude::*;

/// Bounds of an [`AttemptLedger`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LedgerLimits {
    /// Records kept at most; new work is refused beyond.
    pub capacity: usize,
    /// Bytes of plain answers kept at most; outcomes beyond are kept without their answer.
    pub answer_bytes: usize,
    /// Time for which a record outlives its horizon, so that late copies meet the true outcome.
    pub grace: Millis,
    /// Longest time from now to a horizon.
    pub max_horizon: Millis,
    /// Number of floors, which stand in for tombstones while the table is full.
    pub floor_count: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            capacity: 16_384,
            answer_bytes: 16 << 20,
            grace: Millis::from_secs(30),
            max_horizon: Millis::from_secs(3600),
            floor_count: 1024,
        }
    }
}
