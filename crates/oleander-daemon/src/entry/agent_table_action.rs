//! Follow-ups of a change of the agent table.

use crate::prelude::*;
use oleanderlock::ejection::EjectReason;

/// What the control thread must do after a change of the table; links are given by address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AgentTableAction {
    /// Dial the link, and send a hello message once it is up.
    Use(String),
    /// Close the link.
    Forget(String),
    /// Send a hello message, which the agent answers with a report at once.
    Probe(String),
    /// End the attempts of an incarnation that is gone.
    Gone(Incarnation),
    /// Log that the agent's endpoint gets no work for a while.
    Ejected {
        /// Name of the agent.
        name: String,
        /// Why its endpoint was ejected.
        reason: EjectReason,
    },
}
