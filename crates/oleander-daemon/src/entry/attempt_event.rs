//! Events of an attempt in flight.

use crate::prelude::*;
use oleanderlock::request_outcome::Outcome;

/// A message of an agent on one attempt, or the loss of the agent.
#[derive(Clone, Debug)]
pub enum AttemptEvent {
    /// A part of the answer.
    Chunk(wire::Chunk),
    /// The outcome of the attempt, and the load that the agent sent with it.
    Finished(Ticket, Outcome, Option<wire::Load>),
    /// The agent has buried the attempt; whether it ran before.
    Buried(Ticket, Ran),
    /// The connection to the agent broke.
    Disconnected(Ticket),
    /// The agent's incarnation is gone.
    AgentGone(Incarnation),
}
