//! Planning of weight loads.
//!
//! Load pattern: a trainer announces a weight version and submits the next step right after it; a
//! step also accepts the version before. An engine that loaded at that moment would delay the step,
//! so engines load while the previous step goes on. A load holds up only runs that are about to
//! start: those that have started go on under the new version. So the time to load is when all items
//! of the model have started, long before the last ones, which take five times as long as the others
//! and are spread over all engines, have ended. With two steps open and a few concurrent loads there
//! is just time enough for each engine to load each version.

use super::agent_state::AgentState;
use super::engine_sets::EngineSets;
use super::granted_load::GrantedLoad;
use super::job_state::JobState;
use super::load_grant::LoadGrant;
use super::scheduler::Scheduler;
use super::set_engine::SetEngine;
use crate::prelude::*;
use indexmap::IndexMap;

/// Time for which a granted load counts as running until a report of its agent confirms it.
const LOAD_GRANT_TIMEOUT: Millis = Millis(1500);

impl Scheduler {
    /// Rebalances the engine sets of the models, and returns the loads that may start now. Loads of models
    /// that no engine can run come first, then others that open jobs wait for.
    pub fn plan_loads(&mut self, now: Millis) -> Vec<LoadGrant> {
        if std::mem::take(&mut self.engine_sets_due) {
            self.balance_engine_sets();
        }
        self.update_blocked_models(now);
        let loading = self.agents.values().filter(|agent| agent.is_loading(now));
        let free = self.concurrent_loads_max().saturating_sub(loading.count());
        let mut grants = self.loads_of_blocked_models(now);
        if free > 0 {
            let agents = self.agents.values();
            let due = agents.filter_map(|agent| self.load_grant_for(now, agent));
            let due = due.filter(|due| grants.iter().all(|grant| grant.agent != due.agent));
            let mut due: Vec<LoadGrant> = due.collect();
            due.sort_by_cached_key(|grant| {
                let agent = &self.agents[&grant.agent];
                let is_urgent = self.is_model_blocked(agent, &grant.model);
                (
                    !is_urgent,
                    !self.is_blocking_job(agent),
                    agent.outstanding(),
                )
            });
            due.truncate(free.saturating_sub(grants.len()));
            grants.extend(due);
        }
        for grant in &grants {
            let agent = &mut self.agents[&grant.agent];
            agent.granted_load = Some(GrantedLoad {
                model: grant.model.clone(),
                until: now.plus(LOAD_GRANT_TIMEOUT),
            });
        }
        grants
    }

    /// Returns the most loads at a time: the share of the engines, rounded to the nearest number.
    fn concurrent_loads_max(&self) -> usize {
        let per_load = self.cfg.engines_per_load;
        let share = (self.agents.len() + per_load / 2) / per_load;
        share.max(self.cfg.concurrent_loads_min)
    }

    fn load_grant_for(&self, now: Millis, agent: &AgentState) -> Option<LoadGrant> {
        if agent.is_loading(now) || agent.report.slots == 0 {
            return None;
        }
        let model = self.set_of(agent)?;
        let version = *self.target_versions.get(model)?;
        let held = *agent.report.weights.get(model)?;
        if held >= version {
            return None;
        }
        let is_due = self.is_blocking_job(agent)
            || (self.is_outdated_next(model, held) && self.may_load_now(agent, model));
        is_due.then(|| LoadGrant {
            agent: agent.report.agent.clone(),
            model: model.to_owned(),
            version,
        })
    }

    /// Whether a load would delay no item: the engine is idle, or its runs may go on under the new
    /// version and no item of its model waits for a slot.
    fn may_load_now(&self, agent: &AgentState, model: &str) -> bool {
        if agent.outstanding() == 0 {
            return true;
        }
        agent.report.waiting.is_empty()
            && !self.has_waiting_items(agent, model)
            && !self.runs_with_single_version(agent, model)
    }

    /// Whether the engine's weights are too old for an open job of its model.
    fn is_blocking_job(&self, agent: &AgentState) -> bool {
        self.set_of(agent).is_some_and(|model| {
            let held = agent.report.weights.get(model);
            held.is_some_and(|held| *held < self.needed_version(agent, model))
        })
    }

    /// Whether the next step of a model can't run on version `held`. The announcement of a version
    /// does not outdate the one before it, because the announced step still accepts that one.
    fn is_outdated_next(&self, model: &str, held: u64) -> bool {
        held <= self
            .max_required_version
            .get(model)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the oldest version that all open jobs of a model accept which the engine of an agent
    /// may run; 0 without such jobs.
    fn needed_version(&self, agent: &AgentState, model: &str) -> u64 {
        let open = self.jobs_for(agent, model);
        open.map(|job| job.oldest_version).max().unwrap_or_default()
    }

    /// Returns the open jobs of a model whose route leads to the service of an agent's engine.
    fn jobs_for(&self, agent: &AgentState, model: &str) -> impl Iterator<Item = &JobState> {
        let open = self.jobs.values();
        open.filter(move |job| job.model == model && agent.serves(job))
    }

    fn has_waiting_items(&self, agent: &AgentState, model: &str) -> bool {
        let mut open = self.jobs_for(agent, model);
        open.any(JobState::has_waiting_items)
    }

    /// Divides the engines of each service among the models that they hold.
    fn balance_engine_sets(&mut self) {
        let mut by_service: IndexMap<Option<String>, ServiceEngines> = IndexMap::new();
        let live = self
            .agents
            .iter()
            .filter(|(_, agent)| !agent.report.leaving);
        let live = live.filter(|(_, agent)| !agent.report.weights.is_empty());
        for (name, agent) in live {
            let service = by_service.entry(agent.report.service.clone()).or_default();
            for model in agent.report.weights.keys() {
                if !service.work.contains_key(model) {
                    service
                        .work
                        .insert(model.clone(), self.work_of(agent, model));
                }
            }
            service.engines.insert(
                name.clone(),
                SetEngine {
                    models: agent.report.weights.keys().cloned().collect(),
                    least_outdated: self.least_outdated_model(agent),
                    takes_work: agent.report.slots > 0,
                },
            );
        }
        for service in by_service.values_mut() {
            service.drop_unused_models();
            service.work.sort_keys();
            service.engines.sort_keys();
        }
        self.engine_sets
            .retain(|service, _| by_service.contains_key(service));
        for (name, service) in by_service {
            let sets = self.engine_sets.entry(name.clone()).or_default();
            let before = sets.clone();
            sets.balance(&service.work, &service.engines);
            if sets.sizes() != before.sizes() {
                self.resized_sets.insert(name);
            }
        }
    }

    /// Returns the sets of each service in which one has changed in size since the last call.
    pub fn take_resized_sets(&mut self) -> Vec<(Option<String>, EngineSets)> {
        let resized = std::mem::take(&mut self.resized_sets).into_iter();
        let sets = resized.filter_map(|service| {
            let sets = self.engine_sets.get(&service)?.clone();
            Some((service, sets))
        });
        sets.collect()
    }

    /// Returns the model to whose set the engine of an agent belongs.
    pub(super) fn set_of(&self, agent: &AgentState) -> Option<&str> {
        let sets = self.engine_sets.get(&agent.report.service)?;
        sets.model_of(&agent.report.agent)
    }

    /// Returns the work of a model at the service of an agent's engine: its mean tokens per step; 1 if it
    /// has a version but no step yet; 0 if it has neither, or the routes of its jobs lead elsewhere.
    fn work_of(&self, agent: &AgentState, model: &str) -> u64 {
        let known = self.jobs.values().chain(self.ended_jobs.values());
        let mut of_model = known.filter(|job| job.model == model).peekable();
        let is_elsewhere = of_model.peek().is_some() && !of_model.any(|job| agent.serves(job));
        if is_elsewhere {
            return 0;
        }
        let without_steps = u64::from(self.target_versions.contains_key(model));
        let tokens = self.mean_step_tokens.get(model);
        tokens.map_or(without_steps, |tokens| (*tokens).max(1))
    }

    /// Returns the model whose version on the engine is least behind its target version.
    fn least_outdated_model(&self, agent: &AgentState) -> Option<String> {
        let versions_behind = |model: &String, held: &u64| {
            let target = self.target_versions.get(model).copied().unwrap_or_default();
            target.saturating_sub(*held)
        };
        let weights = agent.report.weights.iter();
        let least_outdated = weights.min_by_key(|(model, held)| versions_behind(model, held))?;
        Some(least_outdated.0.clone())
    }
}

/// The engines of one service.
#[derive(Debug, Default)]
struct ServiceEngines {
    /// Work of each model.
    work: IndexMap<String, u64>,
    /// The engine of each agent.
    engines: IndexMap<String, SetEngine>,
}

impl ServiceEngines {
    /// Drops the models that no job asks for, unless it is all of them.
    fn drop_unused_models(&mut self) {
        if self.work.values().any(|work| *work > 0) {
            self.work.retain(|_, work| *work > 0);
        }
    }
}
