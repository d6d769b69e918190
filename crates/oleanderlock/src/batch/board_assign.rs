//! Which waiting items go to which agents, and which engines load new weights.
//!
//! Load pattern: each trainer submits a step of groups every few seconds and waits for nine tenths
//! of them; a group counts only when all of its items are listed in time. The jobs that are due
//! first come first. Within a job the items that are expected to take longest begin first, each on
//! the engine with the most room among those of the best pace: an engine reads a shared prompt of a
//! thousand tokens in the time of a few tokens, so splitting a group costs less than waiting does.
//!
//! A trainer names a version and asks for the next step at once, and a step allows the version
//! before. An engine that loaded at that moment would make the step wait; it loads in the pause in
//! which the trainer trains.

use super::agent_state::AgentState;
use super::board::Board;
use super::item_key::ItemKey;
use super::item_state::ItemPhase;
use super::job::JobItem;
use super::job_state::JobState;
use super::progress::Progress;
use crate::prelude::*;
use indexmap::IndexMap;

/// Longest time for which a granted load counts as running before its agent says so.
const LOAD_GRANT: Millis = Millis(1500);
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

/// A load of weights that an agent may order now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadGrant {
    /// The agent.
    pub agent: String,
    /// Model to load.
    pub model: String,
    /// Version to load.
    pub version: u64,
}

impl Board {
    /// Assigns waiting items to agents that have room.
    pub fn assign(&mut self, now: Millis) -> Vec<Assignment> {
        let mut order: Vec<usize> = (0..self.jobs.len())
            .filter(|index| !self.jobs[*index].ended)
            .collect();
        order.sort_by_key(|index| self.jobs[*index].due());
        let mut assigned = Vec::new();
        for index in order {
            for place in self.jobs[index].waiting_longest_first() {
                let Some(name) = self.choose_agent(&self.jobs[index]) else {
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
    fn choose_agent(&self, job: &JobState) -> Option<String> {
        let fits = |agent: &AgentState| {
            let version = agent.report.weights.get(&job.model);
            let loading = agent.report.loading.as_ref() == Some(&job.model);
            agent.takes_work() && !loading && version.is_some_and(|has| *has >= job.oldest_version)
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

    /// Gives each engine its model, and returns the loads that may begin now.
    pub fn plan_loads(&mut self, now: Millis) -> Vec<LoadGrant> {
        self.balance_sets();
        let at_once = (self.agents.len() / self.cfg.loads_share).max(self.cfg.loads_min);
        let running =
            |agent: &&AgentState| agent.report.loading.is_some() || agent.load_granted_until > now;
        let mut free = at_once.saturating_sub(self.agents.values().filter(running).count());
        let mut grants = Vec::new();
        let mut names: Vec<String> = self.agents.keys().cloned().collect();
        names.sort_by_key(|name| self.agents[name].outstanding());
        for name in names {
            if free == 0 {
                break;
            }
            if let Some(grant) = self.load_for(now, &name) {
                free -= 1;
                self.agents[&name].load_granted_until = now.plus(LOAD_GRANT);
                grants.push(grant);
            }
        }
        grants
    }

    fn load_for(&self, now: Millis, name: &str) -> Option<LoadGrant> {
        let agent = &self.agents[name];
        let busy = agent.report.loading.is_some() || agent.load_granted_until > now;
        if busy || agent.report.slots == 0 {
            return None;
        }
        let model = self.sets.model_of(name)?;
        let version = *self.wanted.get(model)?;
        let held = *agent.report.weights.get(model)?;
        // An engine that still may run the open jobs of its model loads between them.
        let is_due = agent.outstanding() == 0 || held < self.needed_version(model);
        (held < version && is_due).then(|| LoadGrant {
            agent: name.to_owned(),
            model: model.to_owned(),
            version,
        })
    }

    /// The oldest version that every open job of a model allows.
    fn needed_version(&self, model: &str) -> u64 {
        let open = self.jobs.values();
        let open = open.filter(|job| !job.ended && job.model == model);
        open.map(|job| job.oldest_version).max().unwrap_or_default()
    }

    fn balance_sets(&mut self) {
        let live = self
            .agents
            .iter()
            .filter(|(_, agent)| !agent.report.leaving);
        let live = live.filter(|(_, agent)| !agent.report.weights.is_empty());
        let mut work: IndexMap<String, u64> = IndexMap::new();
        let mut agents: IndexMap<String, Option<String>> = IndexMap::new();
        for (name, agent) in live {
            for model in agent.report.weights.keys() {
                let of_model = self.work.get(model).copied();
                work.insert(model.clone(), of_model.unwrap_or(1));
            }
            agents.insert(name.clone(), self.freshest_model(agent));
        }
        work.sort_keys();
        agents.sort_keys();
        self.sets.balance(&work, &agents);
    }

    /// The model whose version on the engine is least behind the one that was named.
    fn freshest_model(&self, agent: &AgentState) -> Option<String> {
        let behind = |model: &String, held: &u64| {
            let wanted = self.wanted.get(model).copied().unwrap_or_default();
            wanted.saturating_sub(*held)
        };
        let weights = agent.report.weights.iter();
        let freshest = weights.min_by_key(|(model, held)| behind(model, held))?;
        Some(freshest.0.clone())
    }
}
