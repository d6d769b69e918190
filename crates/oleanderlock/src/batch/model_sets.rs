//! Which engines serve which model.
//!
//! Load pattern: several trainers name new versions every few seconds, and the steps of some need
//! several times the work of others. An engine that serves one model loads only that model's
//! versions, so each model gets a set of engines in proportion to its work, and an engine keeps its
//! model until the sets are off by most of an engine.

use indexmap::IndexMap;

/// Engines that a set must have beyond its share, or lack, before one moves. Half an engine would
/// move one back and forth.
const MOVE_BEYOND: f64 = 0.75;

/// The model that each agent's engine serves first.
#[derive(Clone, Debug, Default)]
pub struct ModelSets {
    of_agent: IndexMap<String, String>,
}

impl ModelSets {
    /// Returns the model of an agent.
    pub fn model_of(&self, agent: &str) -> Option<&str> {
        self.of_agent.get(agent).map(String::as_str)
    }

    /// Gives each agent a model, in proportion to the work of the models.
    ///
    /// `agents` names each agent with the model whose newest weights it holds, if any.
    pub fn balance(
        &mut self,
        work: &IndexMap<String, u64>,
        agents: &IndexMap<String, Option<String>>,
    ) {
        self.of_agent
            .retain(|agent, model| agents.contains_key(agent) && work.contains_key(model));
        if work.is_empty() {
            return;
        }
        let shares = shares(work, agents.len());
        for (agent, held) in agents {
            if !self.of_agent.contains_key(agent) {
                let model = self.neediest(&shares, held.as_deref());
                self.of_agent.insert(agent.clone(), model);
            }
        }
        while let Some((agent, model)) = self.next_move(&shares) {
            self.of_agent.insert(agent, model);
        }
    }

    fn count(&self, model: &str) -> usize {
        self.of_agent.values().filter(|of| *of == model).count()
    }

    /// How many engines a set lacks.
    fn lack(&self, model: &str, share: f64) -> f64 {
        share - self.count(model) as f64
    }

    /// The model whose set lacks most; among equals the one that the engine holds.
    fn neediest(&self, shares: &IndexMap<String, f64>, held: Option<&str>) -> String {
        let mut best: Option<(&str, f64)> = None;
        for (model, share) in shares {
            let lack = self.lack(model, *share);
            let better = best.is_none_or(|(_, most)| {
                lack > most || (lack == most && held == Some(model.as_str()))
            });
            if better {
                best = Some((model, lack));
            }
        }
        best.map(|(model, _)| model.to_owned()).unwrap_or_default()
    }

    /// An agent of a set that has too many, and the model whose set lacks most.
    fn next_move(&self, shares: &IndexMap<String, f64>) -> Option<(String, String)> {
        let needy = self.neediest(shares, None);
        if self.lack(&needy, shares[&needy]) < MOVE_BEYOND {
            return None;
        }
        let lacks = shares
            .iter()
            .map(|(model, share)| (model, self.lack(model, *share)));
        let giver = lacks.min_by(|(_, left), (_, right)| left.total_cmp(right))?;
        if giver.1 > -MOVE_BEYOND || self.count(giver.0) < 2 {
            return None;
        }
        let of_giver = self.of_agent.iter().filter(|(_, model)| *model == giver.0);
        let agent = of_giver.map(|(agent, _)| agent.clone()).max()?;
        Some((agent, needy))
    }
}

/// The engines that each model should have, in fractions; at least one where there are enough.
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
