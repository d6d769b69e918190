//! Processes that call endpoints, as the leader knows them from their messages.

use super::caller_rank::CallerRank;
use crate::prelude::*;
use crate::recent_names::RecentNames;

/// Time for which a process counts after its last message; it sends one every few seconds.
const KEEP: Millis = Millis::from_secs(10);
/// Time after the first message from which the list counts as complete.
const SETTLE: Millis = Millis::from_secs(4);

/// Processes that call endpoints, with the time of their last message, by name.
///
/// Memory is bounded by the names of [`RecentNames`] of each role; processes beyond them have no rank.
#[derive(Clone, Debug)]
pub struct CallerList {
    complete_from: Option<Millis>,
    entries: RecentNames,
    agents: RecentNames,
}

impl Default for CallerList {
    fn default() -> Self {
        Self {
            complete_from: None,
            entries: RecentNames::new(KEEP),
            agents: RecentNames::new(KEEP),
        }
    }
}

impl CallerList {
    /// Records a message of an entry; returns whether ranks may have changed.
    pub fn record_entry(&mut self, name: &str, now: Millis) -> bool {
        self.complete_from.get_or_insert(now.plus(SETTLE));
        self.entries.record(now, name)
    }

    /// Records a message of an agent; returns whether ranks may have changed.
    pub fn record_agent(&mut self, name: &str, now: Millis) -> bool {
        self.complete_from.get_or_insert(now.plus(SETTLE));
        self.agents.record(now, name)
    }

    /// Returns the number of agents that have sent a message within `age`.
    pub fn heard_agents(&self, now: Millis, age: Millis) -> usize {
        self.agents.count_within(now, age)
    }

    /// Returns the rank of an entry; `None` while the list may be incomplete or the entry is not
    /// in it.
    pub fn rank_of_entry(&self, name: &str, now: Millis) -> Option<CallerRank> {
        self.rank(&self.entries, name, now)
    }

    /// Returns the rank of an agent; `None` while the list may be incomplete or the agent is not in
    /// it.
    pub fn rank_of_agent(&self, name: &str, now: Millis) -> Option<CallerRank> {
        self.rank(&self.agents, name, now)
    }

    fn rank(&self, of_role: &RecentNames, name: &str, now: Millis) -> Option<CallerRank> {
        let is_complete = self.complete_from.is_some_and(|from| from <= now);
        if !is_complete || !of_role.contains(name) {
            return None;
        }
        Some(CallerRank {
            entries: self.entries.names().len(),
            agents: self.agents.names().len(),
            index: of_role.names().filter(|other| *other < name).count(),
        })
    }
}
