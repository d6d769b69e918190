//! Work that needs a slot of an endpoint, and the decisions of admission control.

use crate::prelude::*;
use crate::shares::ClassKey;

/// One attempt that needs a slot of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Identifies the attempt.
    pub ticket: Ticket,
    /// Class whose share is charged.
    pub class: ClassKey,
    /// Whether a caller or a trainer waits for the result.
    pub kind: WorkKind,
    /// Greater values start first, among classes within their share.
    pub priority: u32,
    /// Time after which the result is of no use.
    pub deadline: Millis,
    /// Estimated number of tokens; 1 for a call of a plain service.
    pub cost: u64,
}

/// Why work is refused, and when a retry may succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The error kind that the caller gets.
    pub error: ErrorKind,
    /// Time from now after which the same work is expected to be admitted; zero if none can be
    /// given.
    pub retry_after: Millis,
}

/// The decision on new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The work has a slot and must be started now.
    Start,
    /// The work is queued; a later [`AdmissionAction`] starts or refuses it.
    Queued,
    /// The work did not run and will not run under this ticket.
    Refuse(Refusal),
    /// The ticket is already queued or running; nothing has changed.
    Duplicate,
}

/// What the agent must do with queued work now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// The queued work has a slot and must be started now.
    Start(Ticket),
    /// The queued work did not run and will not run under this ticket.
    Refuse(Ticket, Refusal),
}
