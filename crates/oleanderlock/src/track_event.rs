//! Events and actions of a request at an entry.

use crate::prelude::*;
use crate::request_outcome::Outcome;

/// An event that concerns a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TrackEvent {
    /// Routing chose this agent incarnation, and the retry budget allows the attempt.
    Route(Incarnation),
    /// Routing found no endpoint, or the retry budget is spent; the kind is the reason.
    NoRoute(ErrorKind),
    /// The last submission of the ticket was not sent, not even in part.
    NotSent(Ticket),
    /// The connection to the agent broke after a send; the agent may still be running.
    Disconnected(Ticket),
    /// The agent incarnation is gone: it was replaced by a newer one, or its failure is confirmed.
    AgentGone(Incarnation),
    /// A part of the answer arrived, so the attempt has started.
    Started(Ticket),
    /// The agent reported the outcome of a ticket.
    Finished(Ticket, Outcome),
    /// The agent replied to a bury message.
    Buried(Ticket, Ran),
    /// A timer fired; see
    /// [`RequestTracker::wake_at`](crate::request_tracker::RequestTracker::wake_at).
    Tick,
    /// The caller closed its connection.
    CallerGone,
}

/// The next action of the entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum TrackAction {
    /// Choose an endpoint other than those of earlier attempts, then send [`TrackEvent::Route`] or
    /// [`TrackEvent::NoRoute`].
    Choose,
    /// Send the submission of this ticket. The agent suppresses duplicates.
    Send(Ticket),
    /// Send a bury message, so that this ticket never starts unless it has started already.
    Bury(Ticket),
    /// Answer the caller; the request is done.
    Answer(Outcome),
}
