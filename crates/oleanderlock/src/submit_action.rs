//! What an agent does with a submission or a burial.

use crate::prelude::*;
use crate::request_outcome::Outcome;

/// What an agent does with a submission.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SubmitAction {
    /// New: hand it to admission; then call `start`, or `finish` with a refusal.
    Start,
    /// Queued or running already: send the outcome to this sender as well when it is known.
    Attach,
    /// Known: send this outcome; nothing runs.
    Repeat(Outcome),
    /// Refused; nothing runs.
    Refuse(ErrorKind, Ran),
}

/// Answer to a request that an attempt never start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BuryReply {
    /// `No`: it did not run and never will. `Unknown`: it is running, or the agent can't tell.
    pub ran: Ran,
    /// The attempt was queued: take it out and send its outcome to all senders.
    pub dequeued: bool,
}

impl BuryReply {
    /// The answer for an attempt that stays as it is.
    pub(crate) const fn unchanged(ran: Ran) -> Self {
        Self {
            ran,
            dequeued: false,
        }
    }
}
