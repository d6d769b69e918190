//! Partition of the engines into one set per model.
//!
//! Load pattern: several trainers announce new weight versions every few seconds, and the steps of
//! some need several times the work of others. An engine that serves a single model loads only that
//! model's versions, so each model gets a set of engines in proportion to its work. An engine moves
//! to another set only if the sizes are off by most of an engine, or if a set has no engine left that
//! takes work: a model without one gets no weights, and its items run nowhere.

use super::set_engine::SetEngine;
use indexmap::{IndexMap, IndexSet};
use std::collections::VecDeque;

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

    /// Assigns each agent to a model that its engine holds, in proportion to the work of the models. Each
    /// model gets an engine that takes work, as long as there are enough.
    ///
    /// `work` is the relative work of each model, `engines` the engine of each agent; agents of other
    /// models are reassigned, and agents that `engines` lacks are removed.
    pub fn balance(&mut self, work: &IndexMap<String, u64>, engines: &IndexMap<String, SetEngine>) {
        self.model_by_agent.retain(|agent, model| {
            let holds = |engine: &SetEngine| engine.models.contains(model);
            work.contains_key(model) && engines.get(agent).is_some_and(holds)
        });
        let shares = shares(work, engines.len());
        for (agent, engine) in engines {
            if self.model_by_agent.contains_key(agent) {
                continue;
            }
            if let Some(model) = self.largest_deficit(&shares, engine) {
                self.model_by_agent.insert(agent.clone(), model);
            }
        }
        let balancing = Balancing { shares, engines };
        while let Some(moves) = self.refill(&balancing) {
            self.model_by_agent.extend(moves);
        }
        while let Some((agent, model)) = self.next_move(&balancing) {
            self.model_by_agent.insert(agent, model);
        }
    }

    /// Returns the engines that a set lacks to its share; negative for an excess.
    fn deficit(&self, model: &str, share: f64) -> f64 {
        let set = self.model_by_agent.values().filter(|of| *of == model);
        share - set.count() as f64
    }

    /// Returns the model of those that an engine holds whose set lacks most engines; ties go to the one
    /// whose version is least outdated.
    fn largest_deficit(
        &self,
        shares: &IndexMap<String, f64>,
        engine: &SetEngine,
    ) -> Option<String> {
        let mut best: Option<(&String, f64)> = None;
        let held = shares
            .iter()
            .filter(|(model, _)| engine.models.contains(*model));
        for (model, share) in held {
            let deficit = self.deficit(model, *share);
            let better = best.is_none_or(|(_, most)| {
                deficit > most || (deficit == most && engine.least_outdated.as_ref() == Some(model))
            });
            if better {
                best = Some((model, deficit));
            }
        }
        best.map(|(model, _)| model.clone())
    }

    /// Returns the engines of a set that take work.
    fn working<'a>(
        &'a self,
        model: &'a str,
        engines: &'a IndexMap<String, SetEngine>,
    ) -> impl Iterator<Item = (&'a String, &'a SetEngine)> {
        let set = self.model_by_agent.iter();
        let set = set.filter(move |(_, of)| *of == model);
        let known = set.filter_map(|(agent, _)| engines.get_key_value(agent));
        known.filter(|(_, engine)| engine.takes_work)
    }

    /// Returns the agent that moves from one set to another: one whose engine takes work and holds the
    /// model of the other set, if possible in the least outdated version.
    fn movable(
        &self,
        from: &str,
        to: &str,
        engines: &IndexMap<String, SetEngine>,
    ) -> Option<String> {
        let holders = self.working(from, engines);
        let holders = holders.filter(|(_, engine)| engine.models.contains(to));
        let best = holders
            .max_by_key(|(agent, engine)| (engine.least_outdated.as_deref() == Some(to), *agent));
        best.map(|(agent, _)| agent.clone())
    }

    /// Returns the moves that give an engine to a set in which none takes work, each with the model to
    /// whose set the agent moves; `None` if there is no such set or no engine for it.
    ///
    /// The shortest chain of sets is taken that ends at one with two such engines. It has several moves
    /// only if engines hold different models.
    fn refill(&self, balancing: &Balancing<'_>) -> Option<Vec<(String, String)>> {
        let engines = balancing.engines;
        let models = balancing.shares.keys();
        let mut empty = models.filter(|model| self.working(model, engines).next().is_none());
        empty.find_map(|model| self.refill_of(model, balancing))
    }

    fn refill_of(
        &self,
        recipient: &String,
        Balancing { shares, engines }: &Balancing<'_>,
    ) -> Option<Vec<(String, String)>> {
        // The move out of each set that has been reached: its agent, and the model to whose set it moves.
        let mut moves: IndexMap<&String, (String, &String)> = IndexMap::new();
        let mut reached = VecDeque::from([recipient]);
        while !reached.is_empty() {
            let mut donors = Vec::new();
            for _ in 0..reached.len() {
                let Some(to) = reached.pop_front() else {
                    break;
                };
                for from in shares.keys() {
                    if from == recipient || moves.contains_key(from) {
                        continue;
                    }
                    let Some(agent) = self.movable(from, to, engines) else {
                        continue;
                    };
                    moves.insert(from, (agent, to));
                    reached.push_back(from);
                    if self.working(from, engines).nth(1).is_some() {
                        donors.push(from);
                    }
                }
            }
            let excess = |model: &&String| -self.deficit(model, shares[*model]);
            let donor = donors
                .into_iter()
                .max_by(|left, right| excess(left).total_cmp(&excess(right)));
            if let Some(donor) = donor {
                return Some(chain_of(donor, recipient, &moves));
            }
        }
        None
    }

    /// Returns the next agent to move and the model to whose set it moves, if two sets are off by more
    /// than the threshold.
    fn next_move(&self, Balancing { shares, engines }: &Balancing<'_>) -> Option<(String, String)> {
        let deficits = shares.iter();
        let deficits = deficits.map(|(model, share)| (model, self.deficit(model, *share)));
        let mut by_deficit: Vec<(&String, f64)> = deficits.collect();
        by_deficit.sort_by(|(_, left), (_, right)| right.total_cmp(left));
        let recipients = by_deficit.iter();
        let recipients = recipients.take_while(|(_, lacks)| *lacks >= MOVE_THRESHOLD_ENGINES);
        for (to, _) in recipients {
            let donors = by_deficit.iter().rev();
            let donors = donors.take_while(|(_, lacks)| *lacks <= -MOVE_THRESHOLD_ENGINES);
            let mut donors =
                donors.filter(|(from, _)| self.working(from, engines).nth(1).is_some());
            if let Some(agent) = donors.find_map(|(from, _)| self.movable(from, to, engines)) {
                return Some((agent, (*to).clone()));
            }
        }
        None
    }
}

/// What one balancing of the sets is based on.
#[derive(Debug)]
struct Balancing<'a> {
    /// Fractional number of engines of each model.
    shares: IndexMap<String, f64>,
    /// The engine of each agent.
    engines: &'a IndexMap<String, SetEngine>,
}

/// Returns the moves from the set of `donor` to that of `recipient`.
fn chain_of(
    donor: &String,
    recipient: &String,
    moves: &IndexMap<&String, (String, &String)>,
) -> Vec<(String, String)> {
    let mut chain = Vec::new();
    let mut from = donor;
    while from != recipient {
        let (agent, to) = &moves[from];
        chain.push((agent.clone(), (*to).clone()));
        from = to;
    }
    chain
}

/// Returns the fractional number of engines for each model, in proportion to its work. If there are
/// enough engines, each model gets one at least, and the others share the rest. The sum is the number of
/// engines.
fn shares(work: &IndexMap<String, u64>, engines: usize) -> IndexMap<String, f64> {
    let mut single: IndexSet<&String> = IndexSet::new();
    loop {
        let others = || work.iter().filter(|(model, _)| !single.contains(*model));
        let total: f64 = others().map(|(_, work)| *work as f64).sum();
        let rest = engines.saturating_sub(single.len()) as f64;
        let count = others().count() as f64;
        let part = |work: u64| {
            if total > 0.0 {
                work as f64 / total * rest
            } else {
                rest / count
            }
        };
        let small = others().filter(|(_, work)| part(**work) < 1.0);
        let small: Vec<&String> = small.map(|(model, _)| model).collect();
        if small.is_empty() || engines < work.len() {
            let share = |(model, work): (&String, &u64)| {
                let share = if single.contains(model) {
                    1.0
                } else {
                    part(*work)
                };
                (model.clone(), share)
            };
            return work.iter().map(share).collect();
        }
        single.extend(small);
    }
}
