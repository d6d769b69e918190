//! The board: the open batch jobs, the agents, and which item is where.
//!
//! Bounded by the jobs that are kept and the agents that were heard.

use super::agent_state::{AgentReport, AgentState};
use super::board_config::BoardConfig;
use super::item_key::ItemKey;
use super::item_state::ItemPhase;
use super::job::Job;
use super::job_state::JobState;
use super::job_terms::JobTerms;
use super::model_sets::ModelSets;
use super::progress::Progress;
use crate::prelude::*;
use indexmap::IndexMap;
use std::collections::HashSet;

/// The open batch jobs, the agents, and which item is where.
#[derive(Clone, Debug, Default)]
pub struct Board {
    pub(super) cfg: BoardConfig,
    pub(super) jobs: IndexMap<String, JobState>,
    pub(super) agents: IndexMap<String, AgentState>,
    pub(super) sets: ModelSets,
    pub(super) wanted: IndexMap<String, u64>,
}

/// What the board makes of a call of an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Items that the agent has but should drop, as `JOB/ITEM`.
    pub drop: Vec<String>,
    /// Items that went back to the queue because the agent no longer has them.
    pub returned: Vec<ItemKey>,
}

impl Board {
    /// An empty board.
    pub fn new(cfg: BoardConfig) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Takes an accepted job; returns false when it is known.
    pub fn accept(&mut self, job: Job, terms: JobTerms, submitted: Millis) -> bool {
        if self.jobs.contains_key(&job.id) {
            return false;
        }
        let id = job.id.clone();
        self.jobs.insert(id, JobState::new(job, terms, submitted));
        true
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
        self.recount();
        running
    }

    /// Drops a job.
    pub fn forget(&mut self, id: &str) {
        self.jobs.shift_remove(id);
        self.recount();
    }

    /// Notes the newest version that was named for a model.
    pub fn want(&mut self, model: &str, version: u64) {
        let wanted = self.wanted.entry(model.to_owned()).or_default();
        *wanted = version.max(*wanted);
    }

    /// Notes that an item has a result.
    pub fn finish(&mut self, key: &ItemKey) {
        self.set_phase(key, ItemPhase::Finished);
    }

    /// Notes that the engine answered a run with a failure; returns how many there were.
    pub fn count_failure(&mut self, key: &ItemKey) -> u32 {
        let Some(item) = self.item_mut(key) else {
            return 0;
        };
        item.failures += 1;
        item.failures
    }

    /// Takes an item back from an agent, with what its run has made.
    pub fn give_back(&mut self, agent: &str, key: &ItemKey, progress: Option<Progress>) {
        let Some(item) = self.item_mut(key) else {
            return;
        };
        if item.runs_at(agent) {
            item.phase = ItemPhase::Waiting;
            if progress.is_some() {
                item.progress = progress;
            }
        }
        self.recount();
    }

    /// Takes what an agent says of itself.
    pub fn hear(&mut self, now: Millis, report: AgentReport) -> Heard {
        let name = report.agent.clone();
        let held: HashSet<&str> = report.items.iter().map(String::as_str).collect();
        let mut heard = Heard::default();
        for job in self.jobs.values_mut() {
            for (id, item) in &mut job.items {
                let ItemPhase::Running { agent, since } = &item.phase else {
                    continue;
                };
                let settled = now.since(*since) > self.cfg.assignment_grace;
                let key = ItemKey {
                    job: job.id.clone(),
                    item: id.clone(),
                };
                if agent == &name && settled && !held.contains(key.to_string().as_str()) {
                    item.phase = ItemPhase::Waiting;
                    heard.returned.push(key);
                }
            }
        }
        heard.drop = self.not_assigned(&report);
        let granted = self.agents.get(&name).map(|agent| agent.load_granted_until);
        let state = AgentState {
            report,
            heard: now,
            outstanding: 0,
            load_granted_until: granted.unwrap_or_default(),
        };
        self.agents.insert(name, state);
        self.recount();
        heard
    }

    /// Items of a report that the agent should not have.
    fn not_assigned(&mut self, report: &AgentReport) -> Vec<String> {
        let mut drop = Vec::new();
        for name in &report.items {
            let Some((job, item)) = name.split_once('/') else {
                continue;
            };
            let Some(state) = self.jobs.get_mut(job) else {
                drop.push(name.clone());
                continue;
            };
            match state.items.get_mut(item) {
                // A new leader learns from the agents what runs.
                Some(state) if state.phase == ItemPhase::Waiting => {
                    state.phase = ItemPhase::Running {
                        agent: report.agent.clone(),
                        since: Millis::ZERO,
                    };
                }
                Some(state) if state.runs_at(&report.agent) => {}
                _ => drop.push(name.clone()),
            }
        }
        drop
    }

    /// Forgets agents that were silent for too long, and takes their items back; returns their
    /// names.
    pub fn drop_silent(&mut self, now: Millis) -> Vec<String> {
        let limit = self.cfg.agent_silence;
        let silent = |agent: &AgentState| now.since(agent.heard) > limit;
        let names = self.agents.iter().filter(|(_, agent)| silent(agent));
        let names: Vec<String> = names.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.agents.shift_remove(name);
            for job in self.jobs.values_mut() {
                for item in job.items.values_mut() {
                    if item.runs_at(name) {
                        item.phase = ItemPhase::Waiting;
                    }
                }
            }
        }
        names
    }

    /// Returns the agents.
    pub fn agents(&self) -> impl Iterator<Item = &AgentState> {
        self.agents.values()
    }

    fn item_mut(&mut self, key: &ItemKey) -> Option<&mut super::item_state::ItemState> {
        self.jobs.get_mut(&key.job)?.items.get_mut(&key.item)
    }

    fn set_phase(&mut self, key: &ItemKey, phase: ItemPhase) {
        if let Some(item) = self.item_mut(key) {
            item.phase = phase;
            item.progress = None;
        }
        self.recount();
    }

    /// Counts the items that each agent has.
    fn recount(&mut self) {
        for agent in self.agents.values_mut() {
            agent.outstanding = 0;
        }
        for job in self.jobs.values().filter(|job| !job.ended) {
            for item in job.items.values() {
                if let ItemPhase::Running { agent, .. } = &item.phase
                    && let Some(agent) = self.agents.get_mut(agent)
                {
                    agent.outstanding += 1;
                }
            }
        }
    }
}
