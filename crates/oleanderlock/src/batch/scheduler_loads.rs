//! Which engines load new weights, and which are emptied of their last runs for it.
//!
//! Load pattern: a trainer names a version and asks for the next step at once, and a step allows the
//! version before. An engine that loaded at that moment would make the step wait, so engines load
//! while the step before ends. A step ends with a few runs that take five times as long as the
//! others, spread over all engines of the model's set; engines that waited for their last run would
//! all load after it, and the next step would wait. So the last runs of an engine move to the others
//! of the set, which have room by then, and go on there behind their last event.

use super::agent_state::AgentState;
use super::item_phase::ItemPhase;
use super::load_grant::LoadGrant;
use super::scheduler::Scheduler;
use crate::prelude::*;
use indexmap::IndexMap;

/// Longest time for which a granted load counts as running before its agent says so.
const LOAD_GRANT_TIMEOUT: Millis = Millis(1500);
/// Longest time for which an engine gets no work while its last runs move away: a move takes about
/// 0.1 s, and a lost message half a second more.
const EVACUATION_TIMEOUT: Millis = Millis(800);
/// Part of an engine's slots that its last runs may take for them to move: one in this.
const EVACUATION_SLOTS_DIVISOR: usize = 4;
/// Shortest time that all runs of an engine must have lasted for them to move: most runs are over
/// by then.
const LAST_RUN_MIN: Millis = Millis(600);
/// An engine takes runs of another one if its pace is at most this many quarters of that one's.
const EVACUATION_INTERVAL_MAX_QUARTERS: u64 = 5;

impl Scheduler {
    /// Gives each engine its model, and returns the loads that may begin now.
    pub fn plan_loads(&mut self, now: Millis) -> Vec<LoadGrant> {
        self.balance_model_sets();
        let at_once =
            (self.agents.len() / self.cfg.engines_per_load).max(self.cfg.concurrent_loads_min);
        let loading = self.agents.values().filter(|agent| agent.is_loading(now));
        let mut free = at_once.saturating_sub(loading.count());
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
        let model = self.model_sets.model_of(name)?;
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

    /// Whether an open job of the engine's model can't run there.
    fn is_blocking_job(&self, name: &str) -> bool {
        let held = self.model_sets.model_of(name).and_then(|model| {
            let held = self.agents[name].report.weights.get(model)?;
            Some(*held < self.needed_version(model))
        });
        held == Some(true)
    }

    /// Whether the step that comes next can't run on a version. One that was named for a step that
    /// is still to come does not make the version before it outdated.
    fn is_outdated_next(&self, model: &str, held: u64) -> bool {
        held <= self
            .highest_oldest_version
            .get(model)
            .copied()
            .unwrap_or_default()
    }

    /// The oldest version that every open job of a model allows.
    fn needed_version(&self, model: &str) -> u64 {
        let open = self.jobs.values();
        let open = open.filter(|job| !job.ended && job.model == model);
        open.map(|job| job.oldest_version).max().unwrap_or_default()
    }

    /// Empties engines for the loads that may run besides those that do.
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

    /// The engine with the fewest runs, of those whose runs the others of its set can take.
    fn next_to_evacuate(&self, now: Millis) -> Option<String> {
        let names = self.agents.keys();
        let names = names.filter(|name| self.may_be_evacuated(now, name));
        let name = names.min_by_key(|name| self.agents[name.as_str()].outstanding())?;
        Some(name.clone())
    }

    fn may_be_evacuated(&self, now: Millis, name: &str) -> bool {
        let agent = &self.agents[name];
        let runs = agent.outstanding();
        let few = runs > 0 && runs <= agent.report.slots / EVACUATION_SLOTS_DIVISOR;
        if !few || agent.is_loading(now) || agent.is_evacuating(now) {
            return false;
        }
        let Some(model) = self.model_sets.model_of(name) else {
            return false;
        };
        let held = agent.report.weights.get(model).copied();
        let wanted = self.target_versions.get(model).copied().unwrap_or_default();
        let outdated = held.is_some_and(|held| held < wanted && self.is_outdated_next(model, held));
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

    /// Whether an engine has only runs of a model that take long and may go on with other weights.
    fn can_move_all_runs(&self, now: Millis, agent: &AgentState, model: &str) -> bool {
        agent.assigned.iter().all(|(key, since)| {
            let job = self.jobs.get(&key.job);
            let may_move = job.is_some_and(|job| job.model == model && !job.policy.single_version);
            may_move && now.since(*since) >= LAST_RUN_MIN
        })
    }

    /// Free slots of the other engines of a model's set that may run its items at about the pace.
    fn free_slots_of_peers(&self, now: Millis, name: &str, model: &str) -> usize {
        let needed = self.needed_version(model);
        let interval_max_us =
            self.agents[name].event_interval_us() * EVACUATION_INTERVAL_MAX_QUARTERS / 4;
        let fits = |(other, agent): &(&String, &AgentState)| {
            let version = agent.report.weights.get(model);
            other.as_str() != name
                && self.model_sets.model_of(other) == Some(model)
                && version.is_some_and(|has| *has >= needed)
                && !agent.is_loading(now)
                && !agent.is_evacuating(now)
                && agent.event_interval_us() <= interval_max_us
        };
        let others = self.agents.iter().filter(fits);
        others.map(|(_, agent)| agent.free_slots()).sum()
    }

    fn balance_model_sets(&mut self) {
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
        self.model_sets.balance(&work, &agents);
    }

    /// The model whose version on the engine is least behind the one that was named.
    fn least_outdated_model(&self, agent: &AgentState) -> Option<String> {
        let behind = |model: &String, held: &u64| {
            let wanted = self.target_versions.get(model).copied().unwrap_or_default();
            wanted.saturating_sub(*held)
        };
        let weights = agent.report.weights.iter();
        let freshest = weights.min_by_key(|(model, held)| behind(model, held))?;
        Some(freshest.0.clone())
    }
}
