//! Whether attempts whose result is no longer needed are cancelled.

use crate::prelude::*;

/// How to cancel an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelRule {
    /// Cancel it, running or not.
    Cancel,
    /// Cancel it if it has not started; otherwise let it finish.
    CancelUnlessStarted,
}

/// Returns how to cancel an attempt whose result is no longer needed: another attempt completed the
/// answer, the caller closed its connection, the deadline passed, or the training step was closed.
///
/// Non-idempotent work is not stopped once it runs: its outcome would be unknown, while a retry
/// with the same idempotency key can still be answered with its result.
pub fn cancel_rule(idempotent: bool) -> CancelRule {
    match idempotent {
        true => CancelRule::Cancel,
        false => CancelRule::CancelUnlessStarted,
    }
}

/// Returns the attempts of one request to cancel after `winner` completed the answer.
pub fn losers(winner: Ticket, in_flight: &[Ticket]) -> Vec<Ticket> {
    let others = in_flight.iter().filter(|ticket| **ticket != winner);
    others.copied().collect()
}
