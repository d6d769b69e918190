//! Partition of the engines into one set per model.
//!
//! Load pattern: several trainers announce new weight versions every few seconds, and the steps of
//! some need several times the work of others. An engine that serves a single model loads only that
//! model's versions, so each model gets a set of engines in proportion to its work. An engine moves
//! to another set only if the sizes are off by most of an engine.

use indexmap::IndexMap;

/// Engines that one set must lack, and another have in excess, before an engine moves. With half an
/// engine the same one would move back and forth.
const MOVE_THRESHOLD_ENGINES: f64 = 0.75;

/// The model to which each agent's engine belongs.
///
/// An engine may still run items of other models while it holds their weights.
#[derive(Clone, Debug, Default)]
pub struct EngineSets {
    model_by_agent: IndexMap<String, String>,
}

impl EngineSets {
    /// Returns the model to whose set an agent's engine belongs.
    pub fn model_of(&self, agent: &str) -> Option<&str> {
        self.model_by_agent.get(agent).map(String::as_str)
    }

    /// Returns the number of engines in the set of each model that has one.
    pub fn sizes(&self) -> IndexMap<&str, usize> {
        let mut sizes = IndexMap::new();
        for model in self.model_by_agent.values() {
            *sizes.entry(model.as_str()).or_default() += 1;
        }
        sizes.sort_keys();
        sizes
    }

    /// Assigns each agent to a model, in proportion to the work of the models.
    ///
    /// `work` is the relative work of each model; agents of other models are reassigned. `agents`
    /// maps each agent to the model whose weights it holds in the least outdated version, if any;
    /// agents that it lacks are removed.
    pub fn balance(
        &mut self,
        work: &IndexMap<String, u64>,
        agents: &IndexMap<String, Option<String>>,
    ) {
        self.model_by_agent
            .retain(|agent, model| agents.contains_key(agent) && work.contains_key(model));
        if work.is_empty() {
            return;
        }
        let shares = shares(work, agents.len());
        for (agent, held) in agents {
            if !self.model_by_agent.contains_key(agent) {
                let model = self.largest_deficit(&shares, held.as_deref());
                self.model_by_agent.insert(agent.clone(), model);
            }
        }
        while let Some((agent, model)) = self.next_move(&shares) {
            self.model_by_agent.insert(agent, model);
        }
    }

    fn count(&self, model: &str) -> usize {
        self.model_by_agent
            .values()
            .filter(|of| *of == model)
            .count()
    }

    /// Returns the engines that a set lacks to its share; negative for an excess.
    fn deficit(&self, model: &str, share: f64) -> f64 {
        share - self.count(model) as f64
    }

    /// Returns the model whose set lacks most engines; ties go to `held`.
    fn largest_deficit(&self, shares: &IndexMap<String, f64>, held: Option<&str>) -> String {
        let mut best: Option<(&str, f64)> = None;
        for (model, share) in shares {
            let deficit = self.deficit(model, *share);
            let better = best.is_none_or(|(_, most)| {
                deficit > most || (deficit == most && held == Some(model.as_str()))
            });
            if better {
                best = Some((model, deficit));
            }
        }
        best.map(|(model, _)| model.to_owned()).unwrap_or_default()
    }

    /// Returns the next agent to move and the model to whose set it moves, if any set is off by more
    /// than the threshold.
    fn next_move(&self, shares: &IndexMap<String, f64>) -> Option<(String, String)> {
        let recipient = self.largest_deficit(shares, None);
        if self.deficit(&recipient, shares[&recipient]) < MOVE_THRESHOLD_ENGINES {
            return None;
        }
        let deficits = shares
            .iter()
            .map(|(model, share)| (model, self.deficit(model, *share)));
        let donor = deficits.min_by(|(_, left), (_, right)| left.total_cmp(right))?;
        if donor.1 > -MOVE_THRESHOLD_ENGINES || self.count(donor.0) < 2 {
            return None;
        }
        let of_donor = self
            .model_by_agent
            .iter()
            .filter(|(_, model)| *model == donor.0);
        let agent = of_donor.map(|(agent, _)| agent.clone()).max()?;
        Some((agent, recipient))
    }
}

/// Returns the fractional number of engines for each model; at least one if there are more engines
/// than models.
fn shares(work: &IndexMap<String, u64>, engines: usize) -> IndexMap<String, f64> {
    let total: f64 = work.values().map(|work| *work as f64).sum();
    let spare = engines.saturating_sub(work.len()) as f64;
    let share = |work: u64| {
        let part = if total > 0.0 {
            work as f64 / total
        } else {
            0.0
        };
        (part * engines as f64).max(1.0_f64.min(spare))
    };
    work.iter()
        .map(|(model, work)| (model.clone(), share(*work)))
        .collect()
}
