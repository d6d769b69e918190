//! An entry's estimate of an agent's clock.

use crate::prelude::*;

/// Translates an entry's clock to the clock of one agent incarnation.
///
/// The estimate never runs ahead of the agent by more than the drift of the two clocks since the
/// report, because a report only ages on its way. So a translated deadline may come early, never
/// late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AgentClock {
    agent: Millis,
    entry: Millis,
}

impl AgentClock {
    /// Starts from a report that showed `agent` and was received at `entry`.
    pub const fn new(agent: Millis, entry: Millis) -> Self {
        Self { agent, entry }
    }

    /// Takes another report; the one that was faster on its way counts.
    pub fn observe(&mut self, agent: Millis, entry: Millis) {
        if agent >= self.at(entry) {
            *self = Self::new(agent, entry);
        }
    }

    /// Returns the agent's time at time `entry` of the entry.
    #[must_use]
    pub const fn at(&self, entry: Millis) -> Millis {
        if entry.0 >= self.entry.0 {
            return self.agent.plus(entry.since(self.entry));
        }
        self.agent.since(self.entry.since(entry))
    }
}
