//! What the scheduler knows of an agent and its engine.

use super::agent_report::AgentReport;
use super::item_key::ItemKey;
use super::job_state::JobState;
use crate::prelude::*;
use indexmap::IndexMap;

/// Items that an agent has beyond those that run, to start without a call when a run ends.
const PREFETCHED_ITEMS_MAX: usize = 2;
/// Time between two events that is assumed while it is not known, in microseconds.
const DEFAULT_EVENT_INTERVAL_US: u64 = 30_000;
/// Factor between two steps of pace.
const LATENCY_CLASS_RATIO: f64 = 1.25;

/// What the scheduler knows of an agent.
#[derive(Clone, Debug)]
pub struct AgentState {
    /// What it said last.
    pub report: AgentReport,
    /// When it was heard last.
    pub last_report_at: Millis,
    /// Items that the scheduler has assigned to it, with the time of the assignment.
    pub assigned: IndexMap<ItemKey, Millis>,
    /// Until when a load that the scheduler granted counts as running.
    pub load_granted_until: Millis,
    /// Until when it gets no work, because its last runs move away so that its engine can load.
    pub evacuating_until: Millis,
}

impl AgentState {
    /// Returns the number of items that the scheduler has assigned to it.
    pub fn outstanding(&self) -> usize {
        self.assigned.len()
    }

    /// Whether the agent has room for one more item.
    pub fn has_capacity(&self) -> bool {
        let most = self.report.slots + PREFETCHED_ITEMS_MAX.min(self.report.slots);
        most > self.outstanding()
    }

    /// Whether its engine may begin items of a job now, if it has room.
    pub fn may_run(&self, now: Millis, job: &JobState) -> bool {
        let version = self.report.weights.get(&job.model);
        let loading = self.report.loading.as_ref() == Some(&job.model);
        !self.report.leaving
            && !self.is_evacuating(now)
            && !loading
            && version.is_some_and(|has| *has >= job.oldest_version)
    }

    /// Whether its engine is being emptied for a load.
    pub fn is_evacuating(&self, now: Millis) -> bool {
        self.evacuating_until > now
    }

    /// Whether its engine loads weights, or is about to.
    pub fn is_loading(&self, now: Millis) -> bool {
        self.report.loading.is_some() || self.load_granted_until > now
    }

    /// Returns the time between two events of a run, or what is assumed of an engine that has
    /// not shown its pace lately.
    pub fn event_interval_us(&self) -> u64 {
        match self.report.event_us {
            0 => DEFAULT_EVENT_INTERVAL_US,
            pace => pace,
        }
    }

    /// Returns how long one event of each of the items takes when `more` come, in steps of a
    /// quarter: engines of about the same pace count as equal.
    pub fn latency_class(&self, more: usize) -> u32 {
        let slots = self.report.slots.max(1) as f64;
        let turns = ((self.outstanding() + more) as f64 / slots).max(1.0);
        let us = self.event_interval_us() as f64 * turns;
        (us.ln() / LATENCY_CLASS_RATIO.ln()) as u32
    }

    /// Returns the number of items that could begin at once.
    pub fn free_slots(&self) -> usize {
        if self.report.leaving {
            return 0;
        }
        self.report.slots.saturating_sub(self.outstanding())
    }
}
