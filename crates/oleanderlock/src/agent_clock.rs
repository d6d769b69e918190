//! An entry's estimate of the clock of an agent.

use crate::prelude::*;

/// Converts times of an entry's clock to the clock of one agent incarnation.
///
/// A report takes time to arrive, so the estimate lags the agent's clock; it runs ahead only by
/// the drift of the two clocks since the report. A converted deadline may thus be early, but not
/// late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AgentClock {
    agent: Millis,
    entry: Millis,
}

impl AgentClock {
    /// Creates an estimate from a report that was sent at `agent`, by the agent's clock, and
    /// received at `entry`, by the entry's clock.
    pub const fn new(agent: Millis, entry: Millis) -> Self {
        Self { agent, entry }
    }

    /// Updates the estimate with another report; ignores it if an earlier report arrived faster.
    pub fn observe(&mut self, agent: Millis, entry: Millis) {
        if agent >= self.at(entry) {
            *self = Self::new(agent, entry);
        }
    }

    /// Returns the agent's time at `entry` of the entry's clock.
    #[must_use]
    pub const fn at(&self, entry: Millis) -> Millis {
        if entry.0 >= self.entry.0 {
            return self.agent.plus(entry.since(self.entry));
        }
        self.agent.since(self.entry.since(entry))
    }
}
