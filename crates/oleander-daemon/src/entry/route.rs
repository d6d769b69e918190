//! The route to an agent.

use crate::prelude::*;
use oleanderlock::agent_clock::AgentClock;
use oleanderlock::endpoint::EndpointKey;

/// The route to one incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The endpoint in the entry's endpoint choice.
    pub key: EndpointKey,
    /// Name of the agent's instance.
    pub name: String,
    /// Link address of the agent.
    pub link: String,
    /// The incarnation that may run the attempt.
    pub incarnation: Incarnation,
    /// Converts times of the entry to the agent's clock.
    pub clock: AgentClock,
}
