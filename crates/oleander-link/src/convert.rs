//! Conversions between wire types and the types of the decision logic in `oleanderlock`.

use crate::wire;
use bytes::Bytes;
use oleanderlock::prelude::*;

impl From<Ticket> for wire::Ticket {
    fn from(ticket: Ticket) -> Self {
        Self {
            request: Bytes::copy_from_slice(&ticket.request.0.to_be_bytes()),
            attempt: ticket.attempt,
            incarnation: ticket.incarnation.0,
        }
    }
}

impl wire::Ticket {
    /// Converts the ticket; `None` when the request id is not 16 bytes long.
    pub fn to_ticket(&self) -> Option<Ticket> {
        let request: [u8; 16] = self.request.as_ref().try_into().ok()?;
        Some(Ticket {
            request: RequestId(u128::from_be_bytes(request)),
            attempt: self.attempt,
            incarnation: Incarnation(self.incarnation),
        })
    }
}

impl From<Ran> for wire::Ran {
    fn from(ran: Ran) -> Self {
        match ran {
            Ran::No => Self::No,
            Ran::Yes => Self::Yes,
            Ran::Unknown => Self::Unknown,
        }
    }
}

impl From<wire::Ran> for Ran {
    fn from(ran: wire::Ran) -> Self {
        match ran {
            wire::Ran::No => Self::No,
            wire::Ran::Yes => Self::Yes,
            wire::Ran::Unknown => Self::Unknown,
        }
    }
}

impl From<WorkKind> for wire::WorkKind {
    fn from(kind: WorkKind) -> Self {
        match kind {
            WorkKind::Interactive => Self::Interactive,
            WorkKind::Samples => Self::Sample,
        }
    }
}

impl From<wire::WorkKind> for WorkKind {
    fn from(kind: wire::WorkKind) -> Self {
        match kind {
            wire::WorkKind::Interactive => Self::Interactive,
            wire::WorkKind::Sample => Self::Samples,
        }
    }
}
