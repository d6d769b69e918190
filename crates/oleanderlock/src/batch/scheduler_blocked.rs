//! Loads for models whose items no engine can run.
//!
//! Load pattern: there are fewer engines than models, or the engines of a model's set don't get its new
//! weights, since they take no orders or fail them. The model is blocked: an open job has waiting items,
//! and no engine of its route has a version that the job accepts. Another engine then loads the version,
//! whatever set it belongs to: at once if the set has no engine that could, else after
//! [`OWN_SET_TIME`], and one more each time that passes.

use super::agent_state::AgentState;
use super::job_state::JobState;
use super::load_grant::LoadGrant;
use super::scheduler::Scheduler;
use crate::prelude::*;
use indexmap::IndexMap;

/// Time within which the engines of a model's set must have loaded a version that a job waits for. A load
/// takes about a second, and may wait for another one.
const OWN_SET_TIME: Millis = Millis(2000);

/// A model at a service; `None` for engines of an unknown one.
type ModelAtService = (Option<String>, String);

impl Scheduler {
    /// Records which models are blocked, and since when.
    pub(super) fn update_blocked_models(&mut self, now: Millis) {
        let mut blocked: IndexMap<ModelAtService, Millis> = IndexMap::new();
        for job in self.jobs.values().filter(|job| self.is_blocked(job)) {
            for agent in self.agents.values() {
                if agent.serves(job) && agent.report.weights.contains_key(&job.model) {
                    let key = (agent.report.service.clone(), job.model.clone());
                    let since = self.blocked_since.get(&key).copied();
                    blocked.insert(key, since.unwrap_or(now));
                }
            }
        }
        self.blocked_since = blocked;
    }

    /// Whether a job has waiting items and no engine could run them.
    fn is_blocked(&self, job: &JobState) -> bool {
        let could_run = |agent: &AgentState| {
            agent.report.slots > 0 && !agent.report.leaving && agent.suits(job)
        };
        !self.agents.values().any(could_run) && job.has_waiting_items()
    }

    /// Whether a model is blocked at the service of an agent's engine.
    pub(super) fn is_model_blocked(&self, agent: &AgentState, model: &str) -> bool {
        let mut blocked = self.blocked_since.keys();
        blocked.any(|(service, of)| of == model && *service == agent.report.service)
    }

    /// Returns the loads of blocked models that engines of other sets may start now, the model that has
    /// been blocked longest first. They are not bounded by the number of concurrent loads.
    pub(super) fn loads_of_blocked_models(&self, now: Millis) -> Vec<LoadGrant> {
        let mut longest_first: Vec<(&ModelAtService, &Millis)> =
            self.blocked_since.iter().collect();
        longest_first.sort_by_key(|(_, since)| **since);
        let mut grants: Vec<LoadGrant> = Vec::new();
        for (blocked, since) in longest_first {
            let grant = self.load_of_blocked_model(now, blocked, *since, &grants);
            grants.extend(grant);
        }
        grants
    }

    /// Returns the load of one blocked model beside the loads `granted`; `None` if enough engines of other
    /// sets load it, or none could.
    fn load_of_blocked_model(
        &self,
        now: Millis,
        (service, model): &ModelAtService,
        since: Millis,
        granted: &[LoadGrant],
    ) -> Option<LoadGrant> {
        let version = self.target_versions.get(model)?;
        let at_service = self.agents.values();
        let at_service = at_service.filter(|agent| agent.report.service == *service);
        let (own, others): (Vec<_>, Vec<_>) =
            at_service.partition(|agent| self.set_of(agent) == Some(model));
        let own_set_works = own.iter().any(|agent| agent.report.slots > 0);
        let waited = now.since(since).0 / OWN_SET_TIME.0;
        let allowed = waited as usize + usize::from(!own_set_works);
        let loading = others
            .iter()
            .filter(|agent| agent.is_loading_model(now, model));
        if loading.count() >= allowed {
            return None;
        }
        let could_load = |agent: &&AgentState| {
            let held = agent.report.weights.get(model);
            agent.report.slots > 0
                && !agent.report.leaving
                && !agent.is_loading(now)
                && held.is_some_and(|held| held < version)
                && granted
                    .iter()
                    .all(|grant| grant.agent != agent.report.agent)
        };
        let candidates = others.into_iter().filter(could_load);
        let least_loaded = candidates.min_by_key(|agent| {
            let breaks_runs = self.runs_with_single_version(agent, model);
            (breaks_runs, agent.outstanding())
        })?;
        Some(LoadGrant {
            agent: least_loaded.report.agent.clone(),
            model: model.clone(),
            version: *version,
        })
    }

    /// Whether an agent has items of a model whose text must come from a single version.
    pub(super) fn runs_with_single_version(&self, agent: &AgentState, model: &str) -> bool {
        let mut jobs = agent.assigned.keys().map(|key| self.jobs.get(&key.job));
        jobs.any(|job| job.is_some_and(|job| job.model == model && job.policy.single_version))
    }
}
