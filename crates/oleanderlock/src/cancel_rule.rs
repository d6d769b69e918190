//! When attempts that nobody waits for are cancelled.

use crate::prelude::*;

/// What to do with an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelRule {
    /// Cancel it, whether it runs or not.
    Cancel,
    /// Cancel it if it has not started; let it finish otherwise.
    CancelUnlessStarted,
}

/// Returns what to do with an attempt that nobody waits for: another attempt gave the whole answer,
/// the caller closed its connection, the deadline passed, or the training step was closed.
///
/// Work that may not be repeated is not cut off once it runs: its outcome would be unknown, and a
/// repetition with the same idempotency key is answered with its result.
pub fn cancel_rule(idempotent: bool) -> CancelRule {
    match idempotent {
        true => CancelRule::Cancel,
        false => CancelRule::CancelUnlessStarted,
    }
}

/// Returns the attempts of one request to cancel once `winner` gave the whole answer.
pub fn losers(winner: Ticket, in_flight: &[Ticket]) -> Vec<Ticket> {
    let others = in_flight.iter().filter(|ticket| **ticket != winner);
    others.copied().collect()
}
