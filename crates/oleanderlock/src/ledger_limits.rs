//! Limits of an attempt ledger.

use crate::prelude::*;

/// Limits of an [`AttemptLedger`](crate::attempt_ledger::AttemptLedger).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LedgerLimits {
    /// Maximum number of records; new work is refused while the table is full.
    pub capacity: usize,
    /// Maximum number of bytes of service answers; further outcomes are kept without their answer.
    pub answer_bytes: usize,
    /// Time for which a record is kept after its horizon, so that duplicates that arrive late get
    /// the recorded outcome.
    pub grace: Millis,
    /// Longest time from now to the horizon of a submission; longer ones are refused.
    pub max_horizon: Millis,
    /// Number of floors, which replace tombstones while the table is full.
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
