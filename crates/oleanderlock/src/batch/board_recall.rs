//! Which runs move to another engine: from a slow engine to a faster one, and from an engine that
//! is emptied for a load.
//!
//! Load pattern: some engines run several times slower for seconds. A run there would end after its
//! step is due; the same run goes on elsewhere behind its last event for the price of reading its
//! prompt again.

use super::agent_state::AgentState;
use super::board::Board;
use super::item_key::ItemKey;
use crate::prelude::*;
use indexmap::IndexMap;
use strum::IntoStaticStr;

/// How many times slower an engine must be than one with free slots for its runs to move.
const SLOWER_TIMES: u64 = 2;
/// Shortest time that a run stays where it was assigned.
const STAY_MIN: Millis = Millis(600);

/// Why a run should move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RecallReason {
    /// Its engine is much slower than one with free slots.
    SlowEngine,
    /// Its engine is emptied for a load.
    Load,
}

/// A run that should move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recall {
    /// The agent that has it.
    pub agent: String,
    /// The item.
    pub key: ItemKey,
    /// Why it should move.
    pub reason: RecallReason,
}

impl Board {
    /// Returns runs that should move. They stay assigned until the agents give them back.
    pub fn recalls(&self, now: Millis) -> Vec<Recall> {
        let mut recalls = Vec::new();
        for (name, agent) in &self.agents {
            let recall = |key: &ItemKey, reason| Recall {
                agent: name.clone(),
                key: key.clone(),
                reason,
            };
            if agent.is_clearing(now) {
                let runs = agent.assigned.keys();
                recalls.extend(runs.map(|key| recall(key, RecallReason::Load)));
                continue;
            }
            if agent.report.event_us == 0 {
                continue;
            }
            let mut room: IndexMap<&str, usize> = IndexMap::new();
            for (key, since) in &agent.assigned {
                let Some(job) = self.jobs.get(&key.job) else {
                    continue;
                };
                let room = room
                    .entry(&key.job)
                    .or_insert_with(|| self.faster_room(agent, &job.model, job.oldest_version));
                if *room > 0 && now.since(*since) >= STAY_MIN {
                    *room -= 1;
                    recalls.push(recall(key, RecallReason::SlowEngine));
                }
            }
        }
        recalls
    }

    /// Free slots of engines that are much faster than `slow` and may run items of the model.
    fn faster_room(&self, slow: &AgentState, model: &str, oldest_version: u64) -> usize {
        let fits = |agent: &&AgentState| {
            let version = agent.report.weights.get(model);
            let fresh = version.is_some_and(|has| *has >= oldest_version);
            let loading = agent.report.loading.as_deref() == Some(model);
            fresh && !loading && agent.pace_us() * SLOWER_TIMES < slow.pace_us()
        };
        let faster = self.agents.values().filter(fits);
        faster.map(AgentState::free_slots).sum()
    }
}
