//! Which engines serve which model.
//!
//! Load pattern: several trainers name new versions every few seconds. An engine that serves one
//! model loads only that model's versions, so each model gets a set of engines of about the same
//! size, and an engine keeps its model as long as the sets stay even.

use indexmap::IndexMap;

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

    /// Gives each agent a model, so that the sets of two models differ by one at most.
    ///
    /// `agents` names each agent with the model whose newest weights it holds, if any.
    pub fn balance(&mut self, models: &[String], agents: &IndexMap<String, Option<String>>) {
        self.of_agent
            .retain(|agent, model| agents.contains_key(agent) && models.contains(model));
        if models.is_empty() {
            return;
        }
        for (agent, held) in agents {
            if !self.of_agent.contains_key(agent) {
                let model = self.neediest(models, held.as_deref());
                self.of_agent.insert(agent.clone(), model);
            }
        }
        while let Some(agent) = self.surplus(models) {
            let model = self.neediest(models, None);
            self.of_agent.insert(agent, model);
        }
    }

    fn count(&self, model: &str) -> usize {
        self.of_agent.values().filter(|of| *of == model).count()
    }

    /// The model with the smallest set; among equals the one that the engine holds.
    fn neediest(&self, models: &[String], held: Option<&str>) -> String {
        let need = |model: &&String| (self.count(model), held != Some(model.as_str()));
        models.iter().min_by_key(need).cloned().unwrap_or_default()
    }

    /// An agent of the largest set, when that is larger than the smallest by two or more.
    fn surplus(&self, models: &[String]) -> Option<String> {
        let largest = models.iter().max_by_key(|model| self.count(model))?;
        let smallest = models.iter().map(|model| self.count(model)).min()?;
        if self.count(largest) < smallest + 2 {
            return None;
        }
        let of_largest = self.of_agent.iter().filter(|(_, model)| *model == largest);
        of_largest.map(|(agent, _)| agent.clone()).max()
    }
}
