//! Recall of items so that they move to another engine: runs of a slow engine, long runs while a
//! faster engine has a free slot, and items that wait while another engine has one.
//!
//! Load pattern: some engines run several times slower for seconds. A run there would end after its
//! step is due; on another engine it resumes after its last event at the cost of one more prefill.
//! Engines of a service also differ by a third for good, and the trainer's estimates of lengths are
//! often far off, so that some of the longest runs, which the step waits for, start on the slower
//! ones; these move too once faster engines have free slots.
//! At the start of a step all engines are full; an engine with only long runs would start its
//! waiting items seconds after other engines have free slots.

use super::agent_state::AgentState;
use super::item_key::ItemKey;
use super::job_state::JobState;
use super::recall::Recall;
use super::recall_reason::RecallReason;
use super::scheduler::Scheduler;
use crate::prelude::*;
use indexmap::IndexMap;

/// Runs leave an engine whose event interval is more than this many times that of an engine with
/// free slots.
const SLOW_ENGINE_RATIO: u64 = 2;
/// Shortest time between the assignment of a run and its recall from a slow engine.
const RUN_BEFORE_RECALL_MIN: Millis = Millis(600);
/// Time since the assignment of a run up to which it is recalled from a slow engine to start again at
/// one of another software version. A slow engine has made few events by then.
const RESTART_AGE_MAX: Millis = Millis(1500);
/// Shortest time between the assignment of a run and its recall as a straggler: most runs have ended
/// by then.
const STRAGGLER_AGE_MIN: Millis = Millis(1500);
/// A straggler moves to an engine whose event interval is at most this many sixths of that of its
/// own engine: the move costs a few events.
const STRAGGLER_INTERVAL_MAX_SIXTHS: u64 = 5;
/// Shortest time between the assignment of a waiting item and its recall: its engine may be about
/// to start it.
const WAIT_BEFORE_RECALL_MIN: Millis = Millis(150);
/// Longest event interval of an engine for which a waiting item is recalled, in quarters of the
/// interval of the item's own engine.
const RECALL_INTERVAL_MAX_QUARTERS: u64 = 6;

impl Scheduler {
    /// Returns the items to recall now. They stay assigned until their agents return them, so the
    /// same item may be in several results.
    pub fn recalls(&self, now: Millis) -> Vec<Recall> {
        let mut recalls = self.recalls_of_other_services();
        recalls.extend(self.recalls_of_waiting(now));
        recalls.extend(self.recalls_of_stragglers(now));
        for (name, agent) in &self.agents {
            let recall = |key: &ItemKey, reason| Recall {
                agent: name.clone(),
                key: key.clone(),
                reason,
            };
            if agent.report.event_us == 0 {
                continue;
            }
            let mut free_slots: IndexMap<&str, FreeSlots> = IndexMap::new();
            for (key, since) in &agent.assigned {
                let Some(job) = self.jobs.get(&key.job) else {
                    continue;
                };
                let free = free_slots
                    .entry(&key.job)
                    .or_insert_with(|| self.free_slots_of_faster_engines(agent, job));
                let age = now.since(*since);
                if age >= RUN_BEFORE_RECALL_MIN && free.take(age < RESTART_AGE_MAX) {
                    recalls.push(recall(key, RecallReason::SlowEngine));
                }
            }
        }
        recalls
    }

    /// Returns items that wait for a slot of a service to which their route no longer leads, or whose route
    /// was removed.
    fn recalls_of_other_services(&self) -> Vec<Recall> {
        let mut recalls = Vec::new();
        for (name, agent) in &self.agents {
            let waiting = agent.report.waiting.iter();
            for key in waiting.filter_map(|item| ItemKey::parse(item)) {
                let job = self.jobs.get(&key.job);
                let is_known = |job: &JobState| {
                    !job.policy.targets.is_empty() || job.route_gone_since.is_some()
                };
                let moved = |job: &&JobState| is_known(job) && !agent.serves(job);
                if agent.assigned.contains_key(&key) && job.filter(moved).is_some() {
                    recalls.push(Recall {
                        agent: name.clone(),
                        key,
                        reason: RecallReason::OtherService,
                    });
                }
            }
        }
        recalls
    }

    /// Returns items that wait for a slot, one for each free slot of an engine that may take them.
    fn recalls_of_waiting(&self, now: Millis) -> Vec<Recall> {
        let mut taken: IndexMap<&str, usize> = IndexMap::new();
        let mut recalls = Vec::new();
        for (name, agent) in &self.agents {
            let waiting = agent.report.waiting.iter();
            for key in waiting.filter_map(|item| ItemKey::parse(item)) {
                let has_waited = agent
                    .assigned
                    .get(&key)
                    .is_some_and(|since| now.since(*since) >= WAIT_BEFORE_RECALL_MIN);
                let job = self.jobs.get(&key.job).filter(|_| has_waited);
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

    /// Returns the runs that have lasted long on an engine that is slower than others with free slots:
    /// one for each such slot, those of the slowest engines first.
    fn recalls_of_stragglers(&self, now: Millis) -> Vec<Recall> {
        let mut slowest_first: Vec<(&String, &AgentState)> = self.agents.iter().collect();
        slowest_first.sort_by_key(|(_, agent)| std::cmp::Reverse(agent.event_interval_us()));
        let mut taken: IndexMap<&str, usize> = IndexMap::new();
        let mut recalls = Vec::new();
        for (name, agent) in slowest_first {
            if agent.report.event_us == 0 {
                continue;
            }
            for (key, since) in &agent.assigned {
                let job = self.jobs.get(&key.job);
                let Some(job) = job.filter(|job| may_move_straggler(now, job, *since)) else {
                    continue;
                };
                let Some(other) = self.faster_peer_with_free_slot(now, agent, job, &taken) else {
                    continue;
                };
                *taken.entry(other).or_default() += 1;
                recalls.push(Recall {
                    agent: name.clone(),
                    key: key.clone(),
                    reason: RecallReason::Straggler,
                });
            }
        }
        recalls
    }

    /// Returns the fastest engine of the model's set that has the same software, is faster than the
    /// one of `agent` and could start an item of the job at once. `taken` counts the slots that other
    /// recalled items will use, by engine.
    fn faster_peer_with_free_slot(
        &self,
        now: Millis,
        agent: &AgentState,
        job: &JobState,
        taken: &IndexMap<&str, usize>,
    ) -> Option<&str> {
        let interval_max_us = agent.event_interval_us() * STRAGGLER_INTERVAL_MAX_SIXTHS / 6;
        let fits = |peer: &(&String, &AgentState)| {
            self.could_start(now, *peer, job, taken)
                && peer.1.report.service == agent.report.service
                && peer.1.report.software == agent.report.software
                && peer.1.report.event_us > 0
                && peer.1.event_interval_us() <= interval_max_us
                && !peer.1.is_loading(now)
        };
        let faster = self.agents.iter().filter(fits);
        let fastest = faster.min_by_key(|(_, other)| other.event_interval_us())?;
        Some(fastest.0.as_str())
    }

    /// Returns an engine of the model's set, about as fast as the one of `agent`, that could start an
    /// item of the job at once. `taken` counts the slots that other recalled items will use, by
    /// engine.
    fn peer_with_free_slot(
        &self,
        now: Millis,
        agent: &AgentState,
        job: &JobState,
        taken: &IndexMap<&str, usize>,
    ) -> Option<&str> {
        let interval_max_us = agent.event_interval_us() * RECALL_INTERVAL_MAX_QUARTERS / 4;
        let fits = |peer: &(&String, &AgentState)| {
            self.could_start(now, *peer, job, taken)
                && peer.1.report.service == agent.report.service
                && peer.1.event_interval_us() <= interval_max_us
        };
        let free = self.agents.iter().find(fits)?;
        Some(free.0.as_str())
    }

    /// Whether an engine of the model's set could start an item of the job at once.
    ///
    /// Engines of other sets are left to their own models: one more run there would delay their
    /// weight loads.
    fn could_start(
        &self,
        now: Millis,
        (name, agent): (&String, &AgentState),
        job: &JobState,
        taken: &IndexMap<&str, usize>,
    ) -> bool {
        let taken = taken.get(name.as_str()).copied().unwrap_or_default();
        agent.free_slots() > taken
            && self.set_of(agent) == Some(&job.model)
            && agent.may_run(now, job)
    }

    /// Returns the free slots of engines that are much faster than `slow` and have the job's model in
    /// a version that the job accepts.
    fn free_slots_of_faster_engines(&self, slow: &AgentState, job: &JobState) -> FreeSlots {
        let fits = |agent: &&AgentState| {
            let loading = agent.report.loading.as_ref() == Some(&job.model);
            agent.free_slots() > 0
                && agent.event_interval_us() * SLOW_ENGINE_RATIO < slow.event_interval_us()
                && agent.suits(job)
                && agent.report.service == slow.report.service
                && !loading
        };
        let mut free = FreeSlots::default();
        for agent in self.agents.values().filter(fits) {
            if agent.report.software == slow.report.software {
                free.same_software += agent.free_slots();
            } else {
                free.other_software += agent.free_slots();
            }
        }
        free
    }
}

/// Free slots for the runs of one engine.
#[derive(Clone, Copy, Debug, Default)]
struct FreeSlots {
    /// At engines that may go on with a run.
    same_software: usize,
    /// At engines at which a run would start again.
    other_software: usize,
}

impl FreeSlots {
    /// Takes a slot for a run, which may start again if `may_restart`; returns whether there is one.
    fn take(&mut self, may_restart: bool) -> bool {
        let slots = if self.same_software > 0 {
            &mut self.same_software
        } else if may_restart {
            &mut self.other_software
        } else {
            return false;
        };
        let is_free = *slots > 0;
        *slots = slots.saturating_sub(1);
        is_free
    }
}

/// Whether a run of a job that was assigned at `since` may move as a straggler.
fn may_move_straggler(now: Millis, job: &JobState, since: Millis) -> bool {
    !job.ended && !job.policy.single_version && now.since(since) >= STRAGGLER_AGE_MIN
}
