//! State of the batch scheduler: jobs, agents, and the assignment of items to agents.
//!
//! A job holds the items (generation requests) of one training step. An agent is the process next
//! to an engine that runs items on it.
//!
//! Memory is bounded by the jobs that have not been removed and the agents that have reported
//! within [`SchedulerConfig::agent_timeout`].

use super::agent_report::AgentReport;
use super::agent_state::AgentState;
use super::engine_sets::EngineSets;
use super::item_key::ItemKey;
use super::item_phase::ItemPhase;
use super::item_state::ItemState;
use super::job::Job;
use super::job_policy::JobPolicy;
use super::job_state::JobState;
use super::progress::Progress;
use super::report_outcome::ReportOutcome;
use super::scheduler_config::SchedulerConfig;
use crate::prelude::*;
use indexmap::{IndexMap, IndexSet};
use std::collections::HashSet;

/// Weight of the newest step in the moving average of a model's tokens per step, in eighths.
const NEW_STEP_WEIGHT_EIGHTHS: u64 = 2;
/// Returns of an item whose repetitions are recognized, besides those of failed runs.
const REMEMBERED_RETURNS: usize = 16;

/// Assigns the items of batch jobs to agents, plans weight loads and recalls items.
///
/// Performs no I/O: the dispatcher passes in agent reports and carries out the returned decisions.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    pub(super) cfg: SchedulerConfig,
    /// Open jobs, in the order of their acceptance.
    pub(super) jobs: IndexMap<String, JobState>,
    /// Ended jobs that have not been removed. They are apart, so that no decision costs more the more there
    /// are.
    pub(super) ended_jobs: IndexMap<String, JobState>,
    pub(super) agents: IndexMap<String, AgentState>,
    /// The set of engines of each model, by service.
    pub(super) engine_sets: IndexMap<Option<String>, EngineSets>,
    /// Services whose sets have changed in size since [`Scheduler::take_resized_sets`].
    pub(super) resized_sets: IndexSet<Option<String>>,
    /// Whether anything has changed that the engine sets depend on.
    pub(super) engine_sets_due: bool,
    /// When each model became [blocked](super::scheduler_blocked) at a service.
    pub(super) blocked_since: IndexMap<(Option<String>, String), Millis>,
    /// Newest announced weight version of each model.
    pub(super) target_versions: IndexMap<String, u64>,
    /// Moving average of the expected tokens per step, by model.
    pub(super) mean_step_tokens: IndexMap<String, u64>,
    /// Highest version that a job of each model required ([`Job::oldest_version`]). The next step
    /// of the model is expected to require a newer one.
    pub(super) max_required_version: IndexMap<String, u64>,
}

impl Scheduler {
    /// Creates a scheduler without jobs or agents.
    pub fn new(cfg: SchedulerConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Adds a job; returns false if a job with the same id exists.
    pub fn accept(&mut self, job: Job, policy: JobPolicy, submitted: Millis) -> bool {
        if self.job(&job.id).is_some() {
            return false;
        }
        self.engine_sets_due = true;
        self.update_mean_step_tokens(&job);
        let oldest = self
            .max_required_version
            .entry(job.model.clone())
            .or_default();
        *oldest = job.oldest_version.max(*oldest);
        let id = job.id.clone();
        self.jobs.insert(id, JobState::new(job, policy, submitted));
        true
    }

    /// Updates the model's mean tokens per step, from which its engine set is sized.
    fn update_mean_step_tokens(&mut self, job: &Job) {
        let expected = job
            .items
            .iter()
            .map(|item| item.expected_tokens.unwrap_or(item.tokens));
        let tokens: u64 = expected.sum();
        let mean = self
            .mean_step_tokens
            .entry(job.model.clone())
            .or_insert(tokens);
        *mean = (*mean * (8 - NEW_STEP_WEIGHT_EIGHTHS) + tokens * NEW_STEP_WEIGHT_EIGHTHS) / 8;
    }

    /// Replaces the limits and rules of a job by those of its route, as after a change of the route.
    pub fn set_policy(&mut self, id: &str, policy: JobPolicy) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.policy = policy;
            job.route_gone_since = None;
            self.engine_sets_due = true;
        }
    }

    /// Takes the services from a job whose route the newest configuration no longer has, so that its items
    /// wait. Its other limits and rules stay, as does the time of an earlier call.
    pub fn remove_route(&mut self, id: &str, now: Millis) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.policy.targets.clear();
            job.route_gone_since.get_or_insert(now);
            self.engine_sets_due = true;
        }
    }

    /// Sets the time from which the items of a job are kept; it is the time of the submission unless
    /// that is uncertain.
    pub fn keep_from(&mut self, id: &str, at: Millis) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.kept_from = at;
        }
    }

    /// Returns a job by id, ended or not.
    pub fn job(&self, id: &str) -> Option<&JobState> {
        self.jobs.get(id).or_else(|| self.ended_jobs.get(id))
    }

    /// Returns the open jobs, in the order of their acceptance.
    pub fn open_jobs(&self) -> impl Iterator<Item = &JobState> {
        self.jobs.values()
    }

    /// Returns the approximate memory of the items of all open jobs, in bytes.
    pub fn open_bytes(&self) -> usize {
        self.jobs.values().map(|job| job.size_bytes).sum()
    }

    /// Returns the number of items without a result, of all jobs.
    pub fn unfinished_items(&self) -> usize {
        let items = self.jobs.values().flat_map(|job| job.items.values());
        items
            .filter(|item| item.phase != ItemPhase::Finished)
            .count()
    }

    /// Ends a job; returns its running items, each with the name of its agent.
    pub fn end(&mut self, id: &str) -> Vec<(String, ItemKey)> {
        let Some(mut job) = self.jobs.shift_remove(id) else {
            return Vec::new();
        };
        let running = job.running();
        job.end();
        self.ended_jobs.insert(id.to_owned(), job);
        self.engine_sets_due = true;
        for (agent, key) in &running {
            self.unassign(agent, key);
        }
        running
    }

    /// Ends a job if it is open, and removes it.
    pub fn remove_job(&mut self, id: &str) {
        self.end(id);
        self.ended_jobs.swap_remove(id);
        self.engine_sets_due = true;
    }

    /// Raises the target version of a model; an older version than the current target is ignored.
    pub fn set_target_version(&mut self, model: &str, version: u64) {
        if self
            .target_versions
            .get(model)
            .is_none_or(|target| *target < version)
        {
            self.target_versions.insert(model.to_owned(), version);
            self.engine_sets_due = true;
        }
    }

    /// Marks an item as finished and frees its slot.
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

    /// Records the return of an item by an agent; returns false if it must not be applied, because the
    /// item is unknown or a message with the same return has been applied before.
    ///
    /// `id` is unique to the return and the same in each repetition of its message. Without one (0),
    /// a return counts as repeated unless the item is assigned to the agent.
    pub fn record_return(&mut self, agent: &str, key: &ItemKey, id: u64) -> bool {
        let Some(item) = self.item_mut(key) else {
            return false;
        };
        if id == 0 {
            return item.is_running_on(agent);
        }
        if item.has_returned(id) {
            return false;
        }
        if item.returns.len() == REMEMBERED_RETURNS {
            item.returns.pop_front();
        }
        item.returns.push_back(id);
        true
    }

    /// Counts a run that the engine answered with a failure, which the return `id` reports, and whose
    /// repetitions are recognized from now on; returns the failures of the item so far, or 0 for an
    /// unknown item.
    pub fn record_failure(&mut self, key: &ItemKey, id: u64) -> u32 {
        let Some(item) = self.item_mut(key) else {
            return 0;
        };
        item.failures += 1;
        if id != 0 {
            item.failed_returns.push(id);
        }
        item.failures
    }

    /// Puts an item that is assigned to `agent` back into the queue, with the progress of its run.
    ///
    /// Does nothing if the item is not assigned to this agent.
    pub fn return_item(&mut self, agent: &str, key: &ItemKey, progress: Option<Progress>) {
        let Some(item) = self.item_mut(key) else {
            return;
        };
        if item.is_running_on(agent) {
            item.phase = ItemPhase::Waiting;
            item.returned_by = Some(agent.to_owned());
            if progress.is_some() {
                item.progress = progress;
            }
            self.unassign(agent, key);
        }
    }

    /// Lets a waiting item resume from the progress of an ended run and clears its hold.
    ///
    /// Progress that the item already has is kept.
    pub fn restore_progress(&mut self, key: &ItemKey, progress: Progress) {
        let item = self.item_mut(key);
        if let Some(item) = item.filter(|item| item.phase == ItemPhase::Waiting) {
            item.hold_until = Millis::ZERO;
            item.progress.get_or_insert(progress);
        }
    }

    /// Whether an item is assigned to an agent, running or waiting for a slot.
    pub fn is_assigned(&self, key: &ItemKey) -> bool {
        let item = self.item(key);
        item.is_some_and(|item| matches!(item.phase, ItemPhase::Running { .. }))
    }

    /// Delays the assignment of a waiting item until `until`, because an agent that has not
    /// reported yet may still run it; [`Scheduler::restore_progress`] ends the delay.
    pub fn hold(&mut self, key: &ItemKey, until: Millis) {
        if let Some(item) = self.item_mut(key) {
            item.hold_until = until;
        }
    }

    /// Whether an item exists and is not finished.
    pub fn is_open(&self, key: &ItemKey) -> bool {
        let item = self.item(key);
        item.is_some_and(|item| item.phase != ItemPhase::Finished)
    }

    /// Applies an agent's report: reconciles the items that it holds with those assigned to it.
    ///
    /// An assigned item that the report lacks counts as lost if the agent has restarted or the
    /// assignment is older than [`SchedulerConfig::assignment_grace`].
    pub fn apply_report(&mut self, now: Millis, report: AgentReport) -> ReportOutcome {
        let mut outcome = ReportOutcome::default();
        let known = self.agents.shift_remove(&report.agent);
        let is_same_engine = known.as_ref().is_some_and(|known| {
            let before = &known.report;
            before.service == report.service
                && before.weights == report.weights
                && before.leaving == report.leaving
                && (before.slots == 0) == (report.slots == 0)
        });
        self.engine_sets_due |= !is_same_engine;
        let before = known.as_ref().map(|known| known.report.process);
        let restarted = before.is_some_and(|process| process != report.process);
        let (mut assigned, mut granted_load) = match known {
            Some(known) => (known.assigned, known.granted_load),
            None => (IndexMap::new(), None),
        };
        if report.loading.is_some() {
            // From now on the reports show when the load ends.
            granted_load = None;
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
            granted_load,
            report,
        };
        self.agents.insert(state.report.agent.clone(), state);
        outcome
    }

    /// Assigns a waiting item to the agent that reports it, as happens after a change of leader;
    /// returns false if the agent should drop it.
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

    /// Removes agents whose last report is older than [`SchedulerConfig::agent_timeout`] and returns
    /// their items to the queue; returns the names of the agents.
    pub fn remove_silent_agents(&mut self, now: Millis) -> Vec<String> {
        let limit = self.cfg.agent_timeout;
        let silent = |agent: &AgentState| now.since(agent.last_report_at) > limit;
        let names = self.agents.iter().filter(|(_, agent)| silent(agent));
        let names: Vec<String> = names.map(|(name, _)| name.clone()).collect();
        for name in &names {
            let Some(agent) = self.agents.shift_remove(name) else {
                continue;
            };
            self.engine_sets_due = true;
            for key in agent.assigned.keys() {
                if let Some(item) = self.item_mut(key) {
                    item.phase = ItemPhase::Waiting;
                }
            }
        }
        names
    }

    /// Returns the slots in the last report of an agent, or `None` for an unknown agent.
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
