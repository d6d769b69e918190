//! What happens to a request at an entry, and what the entry does next.

use crate::prelude::*;
use crate::request_outcome::Outcome;

/// What happened to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TrackEvent {
    /// Routing chose this agent incarnation, and the retry budget allows the attempt.
    Route(Incarnation),
    /// Routing found no endpoint or the retry budget is spent; the kind says which.
    NoRoute(ErrorKind),
    /// The link proves that the last send of the ticket left this process in no form.
    NotSent(Ticket),
    /// The link to the agent broke after a send; the agent may still be there.
    Disconnected(Ticket),
    /// The incarnation is gone: it was replaced, or its failure is established.
    AgentGone(Incarnation),
    /// Part of the answer came, so the attempt has started.
    Started(Ticket),
    /// The agent's final word on a ticket.
    Finished(Ticket, Outcome),
    /// The agent's answer to a burial.
    Buried(Ticket, Ran),
    /// Time has passed.
    Tick,
    /// The caller is gone.
    CallerGone,
}

/// What the entry does next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TrackAction {
    /// Choose an endpoint other than those of earlier attempts, then report `Route` or `NoRoute`.
    Choose,
    /// Send the submission of this ticket; sending it again is safe.
    Send(Ticket),
    /// Ask the agent to bury this ticket.
    Bury(Ticket),
    /// Answer the caller; the track is done.
    Answer(Outcome),
}
