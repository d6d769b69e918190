//! Processes that call endpoints, as the leader knows them from their messages.

use super::caller_rank::CallerRank;
use crate::prelude::*;
use indexmap::IndexMap;

/// Time for which a process counts after its last message; it sends one every few seconds.
const KEEP: Millis = Millis::from_secs(10);
/// Time after the first message from which the list counts as complete.
const SETTLE: Millis = Millis::from_secs(4);
/// Most processes of one role; further ones have no rank.
const CALLERS_MAX: usize = 8192;

/// Processes that call endpoints, with the time of their last message, by name.
///
/// Memory is bounded by [`CALLERS_MAX`] names of each role.
#[derive(Clone, Debug, Default)]
pub struct CallerList {
    complete_from: Option<Millis>,
    entries: IndexMap<String, Millis>,
    agents: IndexMap<String, Millis>,
}

impl CallerList {
    /// Records a message of an entry.
    pub fn record_entry(&mut self, name: &str, now: Millis) {
        self.complete_from.get_or_insert(now.plus(SETTLE));
        record(&mut self.entries, name, now);
    }

    /// Records a message of an agent.
    pub fn record_agent(&mut self, name: &str, now: Millis) {
        self.complete_from.get_or_insert(now.plus(SETTLE));
        record(&mut self.agents, name, now);
    }

    /// Returns the number of agents that have sent a message within `age`.
    pub fn heard_agents(&self, now: Millis, age: Millis) -> usize {
        let seen = self.agents.values();
        seen.filter(|seen_at| now.since(**seen_at) <= age).count()
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

    fn rank(
        &self,
        of_role: &IndexMap<String, Millis>,
        name: &str,
        now: Millis,
    ) -> Option<CallerRank> {
        self.complete_from.filter(|from| *from <= now)?;
        of_role.get(name)?;
        let before = of_role.keys().filter(|other| other.as_str() < name);
        Some(CallerRank {
            entries: self.entries.len(),
            agents: self.agents.len(),
            index: before.count(),
        })
    }
}

/// Records a message, and removes the processes that have sent none for [`KEEP`].
fn record(of_role: &mut IndexMap<String, Millis>, name: &str, now: Millis) {
    if let Some(seen_at) = of_role.get_mut(name) {
        *seen_at = now;
    } else if of_role.len() < CALLERS_MAX {
        of_role.insert(name.to_owned(), now);
    }
    of_role.retain(|_, seen_at| now.since(*seen_at) < KEEP);
}
