//! Which waiting items go to which agents.
//!
//! Load pattern: each trainer submits a step of groups every few seconds and waits for nine tenths
//! of them; a group counts only when all of its items are listed in time. After an outage two steps
//! of each trainer come almost at once. So the items that must begin first come first, whichever job
//! they are of: a run that takes six of the seven seconds of its step can't wait for the short runs
//! of the step before, which can wait for it. Each goes to the engine with the most room among those
//! of the best pace: an engine reads a shared prompt of a thousand tokens in the time of a few
//! tokens, so splitting a group costs less than waiting does.

use super::agent_state::AgentState;
use super::board::Board;
use super::item_key::ItemKey;
use super::item_state::ItemPhase;
use super::job::JobItem;
use super::job_state::JobState;
use super::progress::Progress;
use crate::prelude::*;
use std::collections::VecDeque;

/// Steps of pace by which an engine of another model's set must be better to take a group.
const OTHER_SET_STEPS: u32 = 3;

/// One item that goes to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The agent.
    pub agent: String,
    /// The item.
    pub key: ItemKey,
    /// What to run.
    pub item: JobItem,
    /// Where to go on, when an earlier run was interrupted.
    pub progress: Option<Progress>,
}

/// The waiting items of one job, with the points at which they must begin at the latest.
struct Queue {
    job: usize,
    due: Millis,
    waiting: VecDeque<(Millis, usize)>,
}

/// The queue whose first item must begin first, if any has one.
fn next_queue(queues: &mut [Queue]) -> Option<&mut Queue> {
    let waiting = queues.iter_mut().filter(|queue| !queue.waiting.is_empty());
    waiting.min_by_key(|queue| (queue.waiting[0].0, queue.due))
}

impl Board {
    /// Assigns waiting items to agents that have room.
    pub fn assign(&mut self, now: Millis) -> Vec<Assignment> {
        let open = (0..self.jobs.len()).filter(|index| !self.jobs[*index].ended);
        let mut queues: Vec<Queue> = open.map(|index| self.queue(index)).collect();
        let mut assigned = Vec::new();
        while let Some(queue) = next_queue(&mut queues) {
            let index = queue.job;
            match self.choose_agent(now, &self.jobs[index]) {
                Some(name) => {
                    let next = queue.waiting.pop_front();
                    let next = next.map(|(_, place)| self.assign_item(now, index, place, name));
                    assigned.extend(next);
                }
                None => queue.waiting.clear(),
            }
        }
        assigned
    }

    /// The waiting items of a job, those that must begin first in front.
    fn queue(&self, index: usize) -> Queue {
        let job = &self.jobs[index];
        let due = job.due();
        let times = self.run_times.get(&job.model).copied().unwrap_or_default();
        let waiting = job.waiting_longest_first().into_iter().map(|place| {
            let tokens = job.items[place].item.expected_tokens.unwrap_or_default();
            let latest_start = due.0.saturating_sub(times.expected(tokens).0);
            (Millis(latest_start), place)
        });
        Queue {
            job: index,
            due,
            waiting: waiting.collect(),
        }
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
        let fits = |agent: &AgentState| {
            let version = agent.report.weights.get(&job.model);
            let loading = agent.report.loading.as_ref() == Some(&job.model);
            agent.takes_work(now)
                && !loading
                && version.is_some_and(|has| *has >= job.oldest_version)
        };
        let cost = |agent: &AgentState| {
            let own_set = self.sets.model_of(&agent.report.agent) == Some(&job.model);
            let steps = if own_set { 0 } else { OTHER_SET_STEPS };
            (agent.pace_step(1) + steps, agent.outstanding())
        };
        let fitting = self.agents.values().filter(|agent| fits(agent));
        let best = fitting.min_by_key(|agent| cost(agent))?;
        Some(best.report.agent.clone())
    }
}
