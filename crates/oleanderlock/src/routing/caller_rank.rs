//! Place of a process among those that call endpoints.

use super::caller_share::CallerShare;
use serde::{Deserialize, Serialize};

/// Number of processes that call endpoints, and the place of one of them.
///
/// The leader sends it; for a while, processes may have different ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRank {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Place among the processes of the same role, from 0.
    pub index: usize,
}

impl CallerRank {
    /// Returns the share of an entry in the limits of a service that agents call too if
    /// `with_agents`.
    pub fn share_of_entry(self, with_agents: bool) -> CallerShare {
        let agents = if with_agents { self.agents } else { 0 };
        CallerShare::new(self.entries + agents, self.index)
    }

    /// Returns the share of an agent in the limits of a service that all entries and agents call.
    pub fn share_of_agent(self) -> CallerShare {
        CallerShare::new(self.entries + self.agents, self.entries + self.index)
    }
}
