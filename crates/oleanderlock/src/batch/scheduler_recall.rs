//! Which items move to another engine: runs from a slow engine to a faster one and from an engine
//! that is emptied for a load, and items that wait for a slot to an engine that has one.
//!
//! Load pattern: some engines run several times slower for seconds. A run there would end after its
//! step is due; the same run goes on elsewhere behind its last event for the price of reading its
//! prompt again. At the start of a step all engines are full; one that got only long runs would
//! begin the items that wait there seconds after the others have room.

use super::agent_state::AgentState;
use super::item_key::ItemKey;
use super::job_state::JobState;
use super::recall::Recall;
use super::recall_reason::RecallReason;
use super::scheduler::Scheduler;
use crate::prelude::*;
use indexmap::IndexMap;

/// How many times slower an engine must be than one with free slots for its runs to move.
const SLOW_ENGINE_RATIO: u64 = 2;
/// Shortest time that a run stays where it was assigned.
const RUN_BEFORE_RECALL_MIN: Millis = Millis(600);

/// Shortest time that an item waits where it was assigned: its engine may be about to begin it.
const WAIT_BEFORE_RECALL_MIN: Millis = Millis(150);
/// An item that waits goes to an engine whose pace is at most this many quarters of its own's.
const RECALL_INTERVAL_MAX_QUARTERS: u64 = 6;

impl Scheduler {
    /// Returns items that should move. They stay assigned until the agents give them back.
    pub fn recalls(&self, now: Millis) -> Vec<Recall> {
        let mut recalls = self.recalls_of_waiting(now);
        for (name, agent) in &self.agents {
            let recall = |key: &ItemKey, reason| Recall {
                agent: name.clone(),
                key: key.clone(),
                reason,
            };
            if agent.is_evacuating(now) {
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
                let room = room.entry(&key.job).or_insert_with(|| {
                    self.free_slots_of_faster_engines(agent, &job.model, job.oldest_version)
                });
                if *room > 0 && now.since(*since) >= RUN_BEFORE_RECALL_MIN {
                    *room -= 1;
                    recalls.push(recall(key, RecallReason::SlowEngine));
                }
            }
        }
        recalls
    }

    /// Items that wait for a slot, as far as other engines of about the pace have slots free.
    fn recalls_of_waiting(&self, now: Millis) -> Vec<Recall> {
        let mut taken: IndexMap<&str, usize> = IndexMap::new();
        let mut recalls = Vec::new();
        for (name, agent) in &self.agents {
            let waiting = agent.report.waiting.iter();
            for key in waiting.filter_map(|item| ItemKey::parse(item)) {
                let long_there = agent
                    .assigned
                    .get(&key)
                    .is_some_and(|since| now.since(*since) >= WAIT_BEFORE_RECALL_MIN);
                let job = self.jobs.get(&key.job).filter(|_| long_there);
                let other = job.and_then(|job| self.peer_with_free_slot(now, agent, job, &taken));
                if let Some(other) = other {
                    *taken.entry(other).or_default() += 1;
                    recalls.push(Recall {
                        agent: name.clone(),
                        key,
                        reason: RecallReason::NoSlot,
                    });
                }
            }
        }
        recalls
    }

    /// An engine of the model's set, of about the pace, that could begin an item of the job at once;
    /// `taken` counts the slots that are spoken for. The slots of other sets are left to their own
    /// models, whose loads wait for the last run.
    fn peer_with_free_slot(
        &self,
        now: Millis,
        agent: &AgentState,
        job: &JobState,
        taken: &IndexMap<&str, usize>,
    ) -> Option<&str> {
        let interval_max_us = agent.event_interval_us() * RECALL_INTERVAL_MAX_QUARTERS / 4;
        let fits = |(name, other): &(&String, &AgentState)| {
            let taken = taken.get(name.as_str()).copied().unwrap_or_default();
            self.model_sets.model_of(name) == Some(&job.model)
                && other.may_run(now, job)
                && other.free_slots() > taken
                && other.event_interval_us() <= interval_max_us
        };
        let free = self.agents.iter().find(fits)?;
        Some(free.0.as_str())
    }

    /// Free slots of engines that are much faster than `slow` and may run items of the model.
    fn free_slots_of_faster_engines(
        &self,
        slow: &AgentState,
        model: &str,
        oldest_version: u64,
    ) -> usize {
        let fits = |agent: &&AgentState| {
            let version = agent.report.weights.get(model);
            let fresh = version.is_some_and(|has| *has >= oldest_version);
            let loading = agent.report.loading.as_deref() == Some(model);
            fresh
                && !loading
                && agent.event_interval_us() * SLOW_ENGINE_RATIO < slow.event_interval_us()
        };
        let faster = self.agents.values().filter(fits);
        faster.map(AgentState::free_slots).sum()
    }
}
