//! Planning of weight loads, and evacuation of engines that are about to load.
//!
//! Load pattern: a trainer announces a weight version and submits the next step right after it; a
//! step also accepts the version before. An engine that loaded at that moment would delay the step,
//! so engines load while the previous step finishes. A step finishes with a few stragglers that take
//! five times as long as the other runs and are spread over all engines of the model's set. If each
//! engine waited for its last run, all would load after it and delay the next step. So an engine is
//! evacuated: its last runs move to other engines of the set, which have free slots by then, and
//! resume there after their last event.

use super::agent_state::AgentState;
use super::item_phase::ItemPhase;
use super::load_grant::LoadGrant;
use super::scheduler::Scheduler;
use crate::prelude::*;
use indexmap::IndexMap;

/// Time for which a granted load counts as running until a report of its agent confirms it.
const LOAD_GRANT_TIMEOUT: Millis = Millis(1500);
/// Longest time for which an evacuated engine gets no work: a move takes about 0.1 s, and a lost
/// message adds half a second.
const EVACUATION_TIMEOUT: Millis = Millis(800);
/// An engine is evacuated only if its runs take at most `1 / EVACUATION_SLOTS_DIVISOR` of its slots.
const EVACUATION_SLOTS_DIVISOR: usize = 4;
/// Shortest time since the assignment of each run of an engine before it is evacuated: most runs
/// have ended by then.
const STRAGGLER_AGE_MIN: Millis = Millis(600);
/// Longest event interval of an engine that takes runs of an evacuated one, in quarters of the
/// evacuated engine's interval.
const EVACUATION_INTERVAL_MAX_QUARTERS: u64 = 5;

impl Scheduler {
    /// Rebalances the engine sets of the models, and returns the loads that may start now.
    ///
    /// Loads that open jobs wait for come first. If fewer loads run than are allowed, engines are
    /// evacuated for the next ones.
    pub fn plan_loads(&mut self, now: Millis) -> Vec<LoadGrant> {
        self.balance_engine_sets();
        let concurrent_max =
            (self.agents.len() / self.cfg.engines_per_load).max(self.cfg.concurrent_loads_min);
        let loading = self.agents.values().filter(|agent| agent.is_loading(now));
        let mut free = concurrent_max.saturating_sub(loading.count());
        let mut names: Vec<String> = self.agents.keys().cloned().collect();
        names.sort_by_cached_key(|name| {
            (!self.is_blocking_job(name), self.agents[name].outstanding())
        });
        let mut grants = Vec::new();
        for name in names {
            if free == 0 {
                return grants;
            }
            if let Some(grant) = self.load_grant_for(now, &name) {
                free -= 1;
                self.agents[&name].load_granted_until = now.plus(LOAD_GRANT_TIMEOUT);
                grants.push(grant);
            }
        }
        self.start_evacuations(now, free);
        grants
    }

    fn load_grant_for(&self, now: Millis, name: &str) -> Option<LoadGrant> {
        let agent = &self.agents[name];
        if agent.is_loading(now) || agent.report.slots == 0 {
            return None;
        }
        let model = self.engine_sets.model_of(name)?;
        let version = *self.target_versions.get(model)?;
        let held = *agent.report.weights.get(model)?;
        let is_due = self.is_blocking_job(name)
            || (agent.outstanding() == 0 && self.is_outdated_next(model, held));
        (held < version && is_due).then(|| LoadGrant {
            agent: name.to_owned(),
            model: model.to_owned(),
            version,
        })
    }

    /// Whether the engine's weights are too old for an open job of its model.
    fn is_blocking_job(&self, name: &str) -> bool {
        let held = self.engine_sets.model_of(name).and_then(|model| {
            let held = self.agents[name].report.weights.get(model)?;
            Some(*held < self.needed_version(model))
        });
        held == Some(true)
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

    /// Returns the oldest version that all open jobs of a model accept; 0 without open jobs.
    fn needed_version(&self, model: &str) -> u64 {
        let open = self.jobs.values();
        let open = open.filter(|job| !job.ended && job.model == model);
        open.map(|job| job.oldest_version).max().unwrap_or_default()
    }

    /// Starts evacuations until `free` engines, the loads that may still start, are evacuating.
    fn start_evacuations(&mut self, now: Millis, free: usize) {
        let evacuating = self
            .agents
            .values()
            .filter(|agent| agent.is_evacuating(now));
        for _ in evacuating.count()..free {
            let Some(name) = self.next_to_evacuate(now) else {
                return;
            };
            self.agents[&name].evacuating_until = now.plus(EVACUATION_TIMEOUT);
        }
    }

    /// Returns the engine with the fewest runs among those that may be evacuated.
    fn next_to_evacuate(&self, now: Millis) -> Option<String> {
        let names = self.agents.keys();
        let names = names.filter(|name| self.may_be_evacuated(now, name));
        let name = names.min_by_key(|name| self.agents[name.as_str()].outstanding())?;
        Some(name.clone())
    }

    /// Whether an engine with outdated weights runs only a few stragglers that the other engines of
    /// its set can take.
    fn may_be_evacuated(&self, now: Millis, name: &str) -> bool {
        let agent = &self.agents[name];
        let runs = agent.outstanding();
        let few = runs > 0 && runs <= agent.report.slots / EVACUATION_SLOTS_DIVISOR;
        if !few || agent.is_loading(now) || agent.is_evacuating(now) {
            return false;
        }
        let Some(model) = self.engine_sets.model_of(name) else {
            return false;
        };
        let held = agent.report.weights.get(model).copied();
        let target = self.target_versions.get(model).copied().unwrap_or_default();
        let outdated = held.is_some_and(|held| held < target && self.is_outdated_next(model, held));
        outdated
            && !self.has_waiting_items(model)
            && self.can_move_all_runs(now, agent, model)
            && self.free_slots_of_peers(now, name, model) >= runs
    }

    fn has_waiting_items(&self, model: &str) -> bool {
        let open = self.jobs.values();
        let mut open = open.filter(|job| !job.ended && job.model == model);
        open.any(|job| {
            let mut items = job.items.values();
            items.any(|item| item.phase == ItemPhase::Waiting)
        })
    }

    /// Whether all runs of an engine are stragglers of `model` that may resume on other weights.
    fn can_move_all_runs(&self, now: Millis, agent: &AgentState, model: &str) -> bool {
        agent.assigned.iter().all(|(key, since)| {
            let job = self.jobs.get(&key.job);
            let may_move = job.is_some_and(|job| job.model == model && !job.policy.single_version);
            may_move && now.since(*since) >= STRAGGLER_AGE_MIN
        })
    }

    /// Returns the free slots of the other engines of a model's set that have new enough weights and
    /// are about as fast.
    fn free_slots_of_peers(&self, now: Millis, name: &str, model: &str) -> usize {
        let needed = self.needed_version(model);
        let interval_max_us =
            self.agents[name].event_interval_us() * EVACUATION_INTERVAL_MAX_QUARTERS / 4;
        let fits = |(other, agent): &(&String, &AgentState)| {
            let version = agent.report.weights.get(model);
            other.as_str() != name
                && self.engine_sets.model_of(other) == Some(model)
                && version.is_some_and(|has| *has >= needed)
                && !agent.is_loading(now)
                && !agent.is_evacuating(now)
                && agent.event_interval_us() <= interval_max_us
        };
        let others = self.agents.iter().filter(fits);
        others.map(|(_, agent)| agent.free_slots()).sum()
    }

    fn balance_engine_sets(&mut self) {
        let live = self
            .agents
            .iter()
            .filter(|(_, agent)| !agent.report.leaving);
        let live = live.filter(|(_, agent)| !agent.report.weights.is_empty());
        let mut work: IndexMap<String, u64> = IndexMap::new();
        let mut agents: IndexMap<String, Option<String>> = IndexMap::new();
        for (name, agent) in live {
            for model in agent.report.weights.keys() {
                let of_model = self.mean_step_tokens.get(model).copied();
                work.insert(model.clone(), of_model.unwrap_or(1));
            }
            agents.insert(name.clone(), self.least_outdated_model(agent));
        }
        work.sort_keys();
        agents.sort_keys();
        self.engine_sets.balance(&work, &agents);
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
