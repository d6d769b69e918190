//! A request that an entry runs, its links to related requests, and its end.

use crate::entry::route::Route;
use crate::prelude::*;
use bytes::Bytes;
use oleanderlock::request_tracker::RequestSpec;

/// A request that an entry runs through one or more attempts.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identity, deadline and placement.
    pub spec: RequestSpec,
    /// Model or service.
    pub target: Bytes,
    /// Class of the contract.
    pub class: String,
    /// Interactive work, or a sample of a training step.
    pub kind: WorkKind,
    /// Request body as the endpoint expects it.
    pub payload: Bytes,
    /// Method and path, such as `POST /quote`, for a plain service; empty for engines.
    pub route: String,
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// Estimated tokens; 1 for a plain call.
    pub cost: u64,
    /// Hash of target and body; a key that comes with a different hash is refused as reused.
    pub fingerprint: u64,
    /// When the request's key expires, on the agent's clock; `None` without a key.
    pub horizon: Option<Millis>,
    /// Name of the agent to which the request's key is bound; `None` without a key.
    pub agent: Option<String>,
}

impl Request {
    /// Returns the message that submits an attempt; the engine continues after `resume` tokens. Times
    /// in it are on the agent's clock.
    pub fn submission(&self, ticket: Ticket, route: &Route, resume: u64) -> wire::Submit {
        let deadline = route.clock.at(self.spec.deadline);
        wire::Submit {
            ticket: Some(ticket.into()),
            class: Bytes::from(self.class.clone()),
            target: self.target.clone(),
            kind: wire::WorkKind::from(self.kind).into(),
            idempotent: self.spec.idempotent,
            deadline_ms: deadline.0,
            payload: self.payload.clone(),
            resume_offset: resume,
            resume_text: Bytes::new(),
            prefix: self.prefix.unwrap_or_default(),
            route: self.route.clone(),
            kv_handle: String::new(),
            horizon_ms: self.horizon.unwrap_or(deadline).0,
            fingerprint: self.fingerprint,
            cost: self.cost,
        }
    }

    /// Returns the message that asks an agent never to start an attempt, and to answer whether it
    /// has.
    pub fn bury_message(&self, ticket: Ticket, route: &Route) -> wire::Bury {
        let deadline = route.clock.at(self.spec.deadline);
        wire::Bury {
            ticket: Some(ticket.into()),
            idempotent: self.spec.idempotent,
            deadline_ms: deadline.0,
            horizon_ms: self.horizon.unwrap_or(deadline).0,
            fingerprint: self.fingerprint,
        }
    }

    /// Returns whether the request is a call of a plain service.
    pub fn is_plain(&self) -> bool {
        !self.route.is_empty()
    }
}
