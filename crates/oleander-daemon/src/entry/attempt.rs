//! One attempt as an agent holds it.

use crate::prelude::*;
use bytes::Bytes;
use oleanderlock::request_outcome::Outcome;
use oleanderlock::submission::Submission;

/// Work that an entry asked this agent to do.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identity, deadline and horizon.
    pub submission: Submission,
    /// Those that get the outcome.
    pub waiters: Vec<Waiter>,
    /// Class of the contract.
    pub class: Bytes,
    /// Model or service.
    pub target: String,
    /// Who waits for the work.
    pub kind: WorkKind,
    /// Request body as the endpoint expects it.
    pub payload: Bytes,
    /// Tokens that the caller already has.
    pub resume_offset: u64,
    /// Method and path for a plain service.
    pub route: String,
    /// Estimated tokens; 1 for a plain call.
    pub cost: u64,
}

/// One sender of a submission; its outcome names its own ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Link address of the entry.
    pub entry: String,
    /// The ticket that the entry knows.
    pub ticket: Ticket,
}

/// How an attempt ended at its endpoint.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Names the attempt.
    pub ticket: Ticket,
    /// What became of it.
    pub outcome: Outcome,
}

impl Attempt {
    /// Reads a submission; `None` when its ticket or its texts are malformed.
    pub fn read(entry: String, submit: wire::Submit) -> Option<Self> {
        let ticket = submit.ticket.as_ref()?.to_ticket()?;
        let kind = submit.kind().into();
        let submission = Submission {
            ticket,
            idempotent: submit.idempotent,
            deadline: Millis(submit.deadline_ms),
            horizon: Millis(submit.horizon_ms),
            fingerprint: submit.fingerprint,
        };
        Some(Self {
            submission,
            waiters: vec![Waiter { entry, ticket }],
            class: submit.class,
            target: String::from_utf8(submit.target.into()).ok()?,
            kind,
            payload: submit.payload,
            resume_offset: submit.resume_offset,
            route: submit.route,
            cost: submit.cost.max(1),
        })
    }

    /// Names the attempt.
    pub fn ticket(&self) -> Ticket {
        self.submission.ticket
    }
}

impl AttemptEnd {
    /// Creates the end of an attempt that failed.
    pub fn failed(ticket: Ticket, error: ErrorKind, ran: Ran) -> Self {
        Self {
            ticket,
            outcome: Outcome::failed(error, ran),
        }
    }

    /// Creates the end of an engine's whole answer.
    pub fn whole(ticket: Ticket, total: u64) -> Self {
        let mut outcome = Outcome::answered(0, Bytes::new());
        outcome.total = total;
        Self { ticket, outcome }
    }
}
