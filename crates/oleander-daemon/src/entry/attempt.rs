//! One attempt as an agent keeps it.

use crate::prelude::*;
use bytes::Bytes;
use oleanderlock::request_outcome::Outcome;
use oleanderlock::submission::Submission;

/// An attempt that an entry submitted to this agent.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Identity, deadline and horizon.
    pub submission: Submission,
    /// The senders of this work, each of which gets the outcome.
    pub waiters: Vec<Waiter>,
    /// Class of the contract.
    pub class: Bytes,
    /// Model or service.
    pub target: String,
    /// Interactive work, or a sample of a training step.
    pub kind: WorkKind,
    /// Request body as the endpoint expects it.
    pub payload: Bytes,
    /// Tokens of the answer that the caller already has; the engine continues after them.
    pub resume_offset: u64,
    /// Method and path, such as `POST /quote`, for a plain service; empty for engines.
    pub route: String,
    /// Estimated tokens; 1 for a plain call.
    pub cost: u64,
}

/// An entry that submitted an attempt.
///
/// Each waiter gets the outcome under its own ticket, since calls with the same key share one
/// attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Link address of the entry.
    pub entry: String,
    /// The ticket under which the entry submitted it.
    pub ticket: Ticket,
}

/// How an attempt ended at its endpoint.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Ticket of the attempt.
    pub ticket: Ticket,
    /// The outcome for all waiters.
    pub outcome: Outcome,
}

impl Attempt {
    /// Parses a submission; `None` when its ticket is malformed or its target is not UTF-8.
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

    /// Returns the ticket under which the attempt was first submitted.
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

    /// Creates the end of an attempt whose answer of `total` tokens went out in chunks.
    pub fn whole(ticket: Ticket, total: u64) -> Self {
        let mut outcome = Outcome::answered(0, Bytes::new());
        outcome.total = total;
        Self { ticket, outcome }
    }
}
