//! When attempts that nobody waits for are cancelled.

use crate::prelude::*;
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// Why nobody waits for an attempt any more.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum CancelCause {
    /// Another attempt of the request gave the whole answer.
    Settled,
    /// The caller closed its connection.
    CallerGone,
    /// The deadline passed.
    DeadlinePassed,
    /// The training step was closed or taken over.
    StepClosed,
}

/// What to do with an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelRule {
    /// Cancel it, whether it runs or not.
    Cancel,
    /// Cancel it if it has not started; let it finish otherwise.
    CancelUnlessStarted,
}

/// Returns what to do with an attempt that nobody waits for.
///
/// Work that may not be repeated is not cut off once it runs: its outcome would be unknown, and a
/// repetition with the same idempotency key is answered with its result.
pub fn cancel_rule(cause: CancelCause, idempotent: bool) -> CancelRule {
    match cause {
        CancelCause::StepClosed => CancelRule::Cancel,
        _ if idempotent => CancelRule::Cancel,
        _ => CancelRule::CancelUnlessStarted,
    }
}

/// Returns the attempts of one request to cancel once `winner` gave the whole answer.
pub fn losers(winner: Ticket, in_flight: &[Ticket]) -> Vec<Ticket> {
    let others = in_flight.iter().filter(|ticket| **ticket != winner);
    others.copied().collect()
}
