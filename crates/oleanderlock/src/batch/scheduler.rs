//! The scheduler: the open batch jobs, the agents, and which item is where.
//!
//! Bounded by the jobs that are kept and the agents that were heard.

use super::agent_report::AgentReport;
use super::report_outcome::ReportOutcome;

use super::agent_state::AgentState;
use super::item_key::ItemKey;
use super::item_phase::ItemPhase;
use super::item_state::ItemState;
use super::job::Job;
use super::job_policy::JobPolicy;
use super::job_state::JobState;
use super::model_sets::ModelSets;
use super::progress::Progress;
use super::scheduler_config::SchedulerConfig;
use crate::prelude::*;
use indexmap::IndexMap;
use std::collections::HashSet;

/// Weight of the newest step in the mean work of a model's steps, in parts of 8.
const WORK_NEW_EIGHTHS: u64 = 2;

/// The open batch jobs, the agents, and which item is where.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    pub(super) cfg: SchedulerConfig,
    pub(super) jobs: IndexMap<String, JobState>,
    pub(super) agents: IndexMap<String, AgentState>,
    pub(super) model_sets: ModelSets,
    pub(super) target_versions: IndexMap<String, u64>,
    /// Tokens that a step of each model needs, on average.
    pub(super) mean_step_tokens: IndexMap<String, u64>,
    /// Greatest oldest version that a job of each model has allowed: the next step of the model
    /// will not run on weights as old as that.
    pub(super) highest_oldest_version: IndexMap<String, u64>,
}

impl Scheduler {
    /// Creates a scheduler without jobs or agents.
    pub fn new(cfg: SchedulerConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Takes an accepted job; returns false when it is known.
    pub fn accept(&mut self, job: Job, policy: JobPolicy, submitted: Millis) -> bool {
        if self.jobs.contains_key(&job.id) {
            return false;
        }
        self.update_mean_work(&job);
        let oldest = self
            .highest_oldest_version
            .entry(job.model.clone())
            .or_default();
        *oldest = job.oldest_version.max(*oldest);
        let id = job.id.clone();
        self.jobs.insert(id, JobState::new(job, policy, submitted));
        true
    }

    /// Notes the work of a step, so that the sets of engines follow it.
    fn update_mean_work(&mut self, job: &Job) {
        let expected = job
            .items
            .iter()
            .map(|item| item.expected_tokens.unwrap_or(item.tokens));
        let tokens: u64 = expected.sum();
        let mean = self
            .mean_step_tokens
            .entry(job.model.clone())
            .or_insert(tokens);
        *mean = (*mean * (8 - WORK_NEW_EIGHTHS) + tokens * WORK_NEW_EIGHTHS) / 8;
    }

    /// Returns a job.
    pub fn job(&self, id: &str) -> Option<&JobState> {
        self.jobs.get(id)
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    /// Ends a job; returns which agents have which of its items.
    pub fn end(&mut self, id: &str) -> Vec<(String, ItemKey)> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let running = job.running();
        job.end();
        for (agent, key) in &running {
            self.unassign(agent, key);
        }
        running
    }

    /// Drops a job that has ended.
    pub fn remove_job(&mut self, id: &str) {
        self.end(id);
        self.jobs.shift_remove(id);
    }

    /// Notes the newest version that was named for a model.
    pub fn set_target_version(&mut self, model: &str, version: u64) {
        let wanted = self.target_versions.entry(model.to_owned()).or_default();
        *wanted = version.max(*wanted);
    }

    /// Notes that an item has a result.
    pub fn finish(&mut self, key: &ItemKey) {
        let Some(item) = self.item_mut(key) else {
            return;
        };
        item.progress = None;
        let before = std::mem::replace(&mut item.phase, ItemPhase::Finished);
        if let ItemPhase::Running { agent } = before {
            self.unassign(&agent, key);
        }
    }

    /// Notes that the engine answered a run with a failure; returns how many there were.
    pub fn record_failure(&mut self, key: &ItemKey) -> u32 {
        let Some(item) = self.item_mut(key) else {
            return 0;
        };
        item.failures += 1;
        item.failures
    }

    /// Takes an item back from an agent, with what its run has made.
    pub fn return_item(&mut self, agent: &str, key: &ItemKey, progress: Option<Progress>) {
        let Some(item) = self.item_mut(key) else {
            return;
        };
        if item.is_running_on(agent) {
            item.phase = ItemPhase::Waiting;
            if progress.is_some() {
                item.progress = progress;
            }
            self.unassign(agent, key);
        }
    }

    /// Lets an item that waits go on from what a run that is over has made.
    pub fn restore_progress(&mut self, key: &ItemKey, progress: Progress) {
        let item = self.item_mut(key);
        if let Some(item) = item.filter(|item| item.phase == ItemPhase::Waiting) {
            item.hold_until = Millis::ZERO;
            item.progress.get_or_insert(progress);
        }
    }

    /// Whether an agent has an item.
    pub fn is_running(&self, key: &ItemKey) -> bool {
        let item = self.item(key);
        item.is_some_and(|item| matches!(item.phase, ItemPhase::Running { .. }))
    }

    /// Keeps a waiting item back until its agent has been heard, or until `until`.
    pub fn hold(&mut self, key: &ItemKey, until: Millis) {
        if let Some(item) = self.item_mut(key) {
            item.hold_until = until;
        }
    }

    /// Whether an item needs a result.
    pub fn is_open(&self, key: &ItemKey) -> bool {
        let item = self.item(key);
        item.is_some_and(|item| item.phase != ItemPhase::Finished)
    }

    /// Takes what an agent says of itself.
    pub fn apply_report(&mut self, now: Millis, report: AgentReport) -> ReportOutcome {
        let mut outcome = ReportOutcome::default();
        let known = self.agents.shift_remove(&report.agent);
        let before = known.as_ref().map(|known| known.report.process);
        let restarted = before.is_some_and(|process| process != report.process);
        let (mut assigned, mut granted, evacuating) = match known {
            Some(known) => (
                known.assigned,
                known.load_granted_until,
                known.evacuating_until,
            ),
            None => (IndexMap::new(), Millis::ZERO, Millis::ZERO),
        };
        if report.loading.is_some() {
            // From here on the agent's word tells when the load ends.
            granted = Millis::ZERO;
        }
        let held: HashSet<&str> = report.items.iter().map(String::as_str).collect();
        let grace = self.cfg.assignment_grace;
        assigned.retain(|key, since| {
            let expected = !restarted && now.since(*since) <= grace;
            let lost = !expected && !held.contains(key.to_string().as_str());
            if lost {
                outcome.returned.push(key.clone());
            }
            !lost
        });
        for key in &outcome.returned {
            if let Some(item) = self.item_mut(key) {
                item.phase = ItemPhase::Waiting;
            }
        }
        for name in &report.items {
            let Some(key) = ItemKey::parse(name) else {
                continue;
            };
            if !assigned.contains_key(&key) && !self.adopt(&report.agent, &key, &mut assigned) {
                outcome.drop.push(name.clone());
            }
        }
        let state = AgentState {
            last_report_at: now,
            assigned,
            load_granted_until: granted,
            evacuating_until: evacuating,
            report,
        };
        self.agents.insert(state.report.agent.clone(), state);
        outcome
    }

    /// Leaves an item that waits with an agent that has it, as a new leader learns; returns false
    /// when the agent should not have it.
    fn adopt(
        &mut self,
        agent: &str,
        key: &ItemKey,
        assigned: &mut IndexMap<ItemKey, Millis>,
    ) -> bool {
        let Some(item) = self.item_mut(key) else {
            return false;
        };
        if item.phase != ItemPhase::Waiting {
            return false;
        }
        item.phase = ItemPhase::Running {
            agent: agent.to_owned(),
        };
        assigned.insert(key.clone(), Millis::ZERO);
        true
    }

    /// Forgets agents that were silent for too long, and takes their items back; returns their
    /// names.
    pub fn remove_silent_agents(&mut self, now: Millis) -> Vec<String> {
        let limit = self.cfg.agent_timeout;
        let silent = |agent: &AgentState| now.since(agent.last_report_at) > limit;
        let names = self.agents.iter().filter(|(_, agent)| silent(agent));
        let names: Vec<String> = names.map(|(name, _)| name.clone()).collect();
        for name in &names {
            let Some(agent) = self.agents.shift_remove(name) else {
                continue;
            };
            for key in agent.assigned.keys() {
                if let Some(item) = self.item_mut(key) {
                    item.phase = ItemPhase::Waiting;
                }
            }
        }
        names
    }

    /// Returns the slots that an agent reported last.
    pub fn slots_of(&self, agent: &str) -> Option<usize> {
        self.agents.get(agent).map(|agent| agent.report.slots)
    }

    fn item(&self, key: &ItemKey) -> Option<&ItemState> {
        self.jobs.get(&key.job)?.items.get(&key.item)
    }

    fn item_mut(&mut self, key: &ItemKey) -> Option<&mut ItemState> {
        self.jobs.get_mut(&key.job)?.items.get_mut(&key.item)
    }

    fn unassign(&mut self, agent: &str, key: &ItemKey) {
        if let Some(agent) = self.agents.get_mut(agent) {
            agent.assigned.swap_remove(key);
        }
    }
}
