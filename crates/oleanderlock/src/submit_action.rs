//! What an agent does with a submission or a bury message.

use crate::prelude::*;
use crate::request_outcome::Outcome;

/// What an agent does with a submission.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SubmitAction {
    /// New: submit it to admission control, then call
    /// [`AttemptLedger::start`](crate::attempt_ledger::AttemptLedger::start), or `finish` with a
    /// refusal.
    Start,
    /// Already queued or running: send the outcome to this sender too once it is known.
    Attach,
    /// Already finished: send the recorded outcome.
    Repeat(Outcome),
    /// Refused: send this error; nothing runs because of this submission.
    Refuse(ErrorKind, Ran),
}

/// Reply to a bury message, which asks that an attempt never start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BuryReply {
    /// `No`: it did not run and never will. `Yes`: it ran. `Unknown`: it is running, or its record
    /// may have been dropped.
    pub ran: Ran,
    /// The attempt was queued: remove it from the queue and send its outcome to all senders.
    pub dequeued: bool,
}

impl BuryReply {
    /// Returns the reply for an attempt that is not removed from the queue.
    pub(crate) const fn unchanged(ran: Ran) -> Self {
        Self {
            ran,
            dequeued: false,
        }
    }
}
