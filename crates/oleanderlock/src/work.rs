//! Work that asks for a slot of an endpoint, and what admission says to it.

use crate::prelude::*;
use crate::shares::ClassKey;

/// One attempt that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Names the attempt.
    pub ticket: Ticket,
    /// Class under which it is admitted.
    pub class: ClassKey,
    /// Who waits for it.
    pub kind: WorkKind,
    /// Greater goes first.
    pub priority: u32,
    /// Point after which the answer is of no use.
    pub deadline: Millis,
    /// Estimated tokens; 1 for a call of a plain service.
    pub cost: u64,
}

/// Why work is not admitted, and when to ask again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub error: ErrorKind,
    /// Time after which the same work is expected to be admitted.
    pub retry_after: Millis,
}

/// What admission says to new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The work holds a slot and must be started now.
    Start,
    /// The work is in the queue; an [`AdmissionAction`] decides on it later.
    Queued,
    /// The work did not run and will not run under this ticket.
    Refuse(Refusal),
    /// The ticket is already queued or running; nothing has changed.
    Duplicate,
}

/// What the agent must do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionAction {
    /// The queued work holds a slot and must be started now.
    Start(Ticket),
    /// The queued work did not run and will not run under this ticket.
    Refuse(Ticket, Refusal),
}
