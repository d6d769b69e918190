//! One request as an entry runs it.

use crate::entry::attempt_progress::AttemptProgress;
use crate::entry::entry_event::Route;
use crate::prelude::*;
use bytes::Bytes;
use oleanderlock::endpoint::EndpointKey;
use oleanderlock::request_outcome::Outcome;
use oleanderlock::request_tracker::RequestSpec;
use oleanderlock::whole_answer::WholeAnswer;

/// One request as the entry runs it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identity, deadline and placement.
    pub spec: RequestSpec,
    /// Model or service.
    pub target: Bytes,
    /// Class of the contract.
    pub class: String,
    /// Who waits for the answer.
    pub kind: WorkKind,
    /// Request body as the endpoint expects it.
    pub payload: Bytes,
    /// Method and path for a plain service; empty for engines.
    pub route: String,
    /// Hash of the prompt prefix.
    pub prefix: Option<u64>,
    /// Estimated tokens; 1 for a plain call.
    pub cost: u64,
    /// Hash of target and body.
    pub fingerprint: u64,
    /// End of use of the request's key on the agent's clock; `None` without a key.
    pub horizon: Option<Millis>,
    /// Name of the agent that the request's key names.
    pub agent: Option<String>,
}

/// What a request shares with others of the same work.
#[derive(Clone, Debug, Default)]
pub struct Tracking {
    /// Shows how far the request is.
    pub progress: AttemptProgress,
    /// Endpoints that other attempts of the same work use.
    pub avoid: Vec<EndpointKey>,
    /// Version that a sample should have at least.
    pub min_version: Option<Version>,
}

/// The end of a request.
#[derive(Clone, Debug)]
pub struct RequestEnd {
    /// What became of it.
    pub outcome: Outcome,
    /// The whole answer of an engine.
    pub answer: Option<WholeAnswer>,
    /// Whether any text went to `on_data`.
    pub text_sent: bool,
}

impl Request {
    /// Returns the submission of one attempt; the engine continues after `resume` tokens.
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

    /// Returns the message that asks an agent never to start an attempt.
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

    /// Tells whether the request is a call of a plain service.
    pub fn is_plain(&self) -> bool {
        !self.route.is_empty()
    }
}
