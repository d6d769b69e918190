//! Which waiting items go to which agents.
//!
//! Load pattern: each trainer submits a step of groups every few seconds and waits for nine tenths
//! of them; a group counts only when all of its items are listed in time. The jobs that are due
//! first come first. Within a job the items that are expected to take longest begin first, each on
//! the engine with the most room among those of the best pace: an engine reads a shared prompt of a
//! thousand tokens in the time of a few tokens, so splitting a group costs less than waiting does.

use super::agent_state::AgentState;
use super::assignment::Assignment;
use super::item_key::ItemKey;
use super::item_phase::ItemPhase;
use super::job_state::JobState;
use super::scheduler::Scheduler;
use crate::prelude::*;

/// Steps of pace by which an engine of another model's set must be better to take a group.
const OTHER_SET_PENALTY_CLASSES: u32 = 3;

impl Scheduler {
    /// Assigns waiting items to agents that have room.
    pub fn assign(&mut self, now: Millis) -> Vec<Assignment> {
        let mut order: Vec<usize> = (0..self.jobs.len())
            .filter(|index| !self.jobs[*index].ended)
            .collect();
        order.sort_by_key(|index| self.jobs[*index].due());
        let mut assigned = Vec::new();
        for index in order {
            for place in self.jobs[index].waiting_longest_first(now) {
                let Some(name) = self.choose_agent(now, &self.jobs[index]) else {
                    break;
                };
                assigned.push(self.assign_item(now, index, place, name));
            }
        }
        assigned
    }

    fn assign_item(&mut self, now: Millis, index: usize, place: usize, name: String) -> Assignment {
        let job = &mut self.jobs[index];
        let oldest = job.oldest_version;
        let item = &mut job.items[place];
        item.phase = ItemPhase::Running {
            agent: name.clone(),
        };
        let progress = item.progress.take();
        let key = ItemKey {
            job: job.id.clone(),
            item: item.item.id.clone(),
        };
        if let Some(agent) = self.agents.get_mut(&name) {
            agent.assigned.insert(key.clone(), now);
        }
        Assignment {
            agent: name,
            key,
            item: item.item.clone(),
            progress: progress.filter(|made| made.is_fresh(oldest)),
        }
    }

    /// The agent that would end one more item of a job first.
    fn choose_agent(&self, now: Millis, job: &JobState) -> Option<String> {
        let fits = |agent: &AgentState| agent.has_capacity() && agent.may_run(now, job);
        let cost = |agent: &AgentState| {
            let own_set = self.model_sets.model_of(&agent.report.agent) == Some(&job.model);
            let steps = if own_set {
                0
            } else {
                OTHER_SET_PENALTY_CLASSES
            };
            (agent.latency_class(1) + steps, agent.outstanding())
        };
        let fitting = self.agents.values().filter(|agent| fits(agent));
        let best = fitting.min_by_key(|agent| cost(agent))?;
        Some(best.report.agent.clone())
    }
}
