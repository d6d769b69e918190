//! One attempt as an agent holds it.

use crate::prelude::*;
use bytes::Bytes;

/// Work that an entry asked this agent to do.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Names the attempt.
    pub ticket: Ticket,
    /// Link address of the entry that waits.
    pub entry: String,
    /// Class of the contract.
    pub class: String,
    /// Model or service.
    pub target: String,
    /// Who waits for the work.
    pub kind: WorkKind,
    /// Whether the work may be repeated.
    pub idempotent: bool,
    /// When nobody waits any more, on this process's clock.
    pub deadline: Millis,
    /// Request body as the endpoint expects it.
    pub payload: Bytes,
    /// Tokens that the caller already has.
    pub resume_offset: u64,
    /// Method and path for a plain service.
    pub route: String,
    /// Priority towards the engine.
    pub priority: u32,
}

/// How an attempt ended at its endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Names the attempt.
    pub ticket: Ticket,
    /// Whether the work ran.
    pub ran: Ran,
    /// Why it failed; `None` for success.
    pub error: Option<ErrorKind>,
    /// Tokens, or bytes of a plain answer.
    pub total: u64,
    /// HTTP status of a plain service; 0 for engines.
    pub status: u16,
    /// Answer of a plain service.
    pub data: Bytes,
}

impl Attempt {
    /// Reads a submission that arrived at `now`; `None` when its ticket or kind is malformed.
    pub fn read(now: Millis, entry: String, submit: wire::Submit) -> Option<Self> {
        let ticket = submit.ticket.as_ref()?.typed()?;
        let kind = submit.kind().into();
        Some(Self {
            ticket,
            entry,
            class: String::from_utf8(submit.class.into()).ok()?,
            target: String::from_utf8(submit.target.into()).ok()?,
            kind,
            idempotent: submit.idempotent,
            deadline: now.plus(Millis(submit.deadline_in_ms)),
            payload: submit.payload,
            resume_offset: submit.resume_offset,
            route: submit.route,
            priority: 0,
        })
    }
}

impl AttemptEnd {
    /// Creates the end of an attempt that failed.
    pub fn failed(ticket: Ticket, error: ErrorKind, ran: Ran) -> Self {
        Self {
            ticket,
            ran,
            error: Some(error),
            total: 0,
            status: 0,
            data: Bytes::new(),
        }
    }

    /// Creates the end of an engine's whole answer.
    pub fn whole(ticket: Ticket, total: u64) -> Self {
        Self {
            ticket,
            ran: Ran::Yes,
            error: None,
            total,
            status: 0,
            data: Bytes::new(),
        }
    }
}
