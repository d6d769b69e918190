//! The scheduler's view of an agent and its engine.

use super::agent_report::AgentReport;
use super::granted_load::GrantedLoad;
use super::item_key::ItemKey;
use super::job_state::JobState;
use crate::prelude::*;
use indexmap::IndexMap;

/// Items that are assigned to an agent beyond its slots, so that the next one starts without a call
/// to the dispatcher when a run ends.
const PREFETCHED_ITEMS_MAX: usize = 2;
/// Event interval that is assumed for an engine whose last report has none, in microseconds. An
/// event is one event of the output stream of a run.
const DEFAULT_EVENT_INTERVAL_US: u64 = 30_000;
/// Ratio between the latencies of neighbouring latency classes.
const LATENCY_CLASS_RATIO: f64 = 1.25;

/// The scheduler's view of an agent and its engine.
#[derive(Clone, Debug)]
pub struct AgentState {
    /// Its last report.
    pub report: AgentReport,
    /// Time of its last report.
    pub last_report_at: Millis,
    /// Items that are assigned to it, with the time of the assignment; the time is zero for items
    /// that it already had when this dispatcher became leader.
    pub assigned: IndexMap<ItemKey, Millis>,
    /// The last weight load that was granted; `None` once a report shows a load.
    pub granted_load: Option<GrantedLoad>,
}

impl AgentState {
    /// Returns the number of items assigned to it, running or waiting for a slot.
    pub fn outstanding(&self) -> usize {
        self.assigned.len()
    }

    /// Whether the agent may be assigned one more item, counting the items that it may prefetch.
    pub fn has_capacity(&self) -> bool {
        let most = self.report.slots + PREFETCHED_ITEMS_MAX.min(self.report.slots);
        most > self.outstanding()
    }

    /// Whether its engine may run items of a job now, regardless of free slots.
    pub fn may_run(&self, now: Millis, job: &JobState) -> bool {
        let loading =
            self.report.loading.as_ref() == Some(&job.model) || self.expected_load(now).is_some();
        !self.report.leaving && !loading && self.suits(job)
    }

    /// Whether its engine is of a service of the job's route and has weights that the job accepts.
    pub fn suits(&self, job: &JobState) -> bool {
        let version = self.report.weights.get(&job.model);
        self.serves(job) && version.is_some_and(|has| *has >= job.oldest_version)
    }

    /// Whether its engine is of a service of the job's route.
    pub fn serves(&self, job: &JobState) -> bool {
        job.policy.allows(self.report.service.as_deref())
    }

    /// Whether its engine loads weights or has been granted a load.
    pub fn is_loading(&self, now: Millis) -> bool {
        self.report.loading.is_some() || self.expected_load(now).is_some()
    }

    /// Whether its engine loads weights of a model or has been granted to.
    pub fn is_loading_model(&self, now: Millis, model: &str) -> bool {
        let expected = self.expected_load(now).map(|load| &load.model);
        let loading = self.report.loading.as_ref().or(expected);
        loading.is_some_and(|loading| loading == model)
    }

    /// Returns the granted load that counts as running without a report of it.
    fn expected_load(&self, now: Millis) -> Option<&GrantedLoad> {
        self.granted_load.as_ref().filter(|load| load.until > now)
    }

    /// Returns the mean time between two events of a run's output stream in microseconds, or a
    /// default if the last report gives it as unknown (0).
    pub fn event_interval_us(&self) -> u64 {
        match self.report.event_us {
            0 => DEFAULT_EVENT_INTERVAL_US,
            reported => reported,
        }
    }

    /// Returns the engine's latency class with `more` items added; a lower class is faster.
    ///
    /// The class is that of the time in which every item gets one event if the items beyond the
    /// slots take turns: the event interval times the items per slot. Latencies of one class differ
    /// by less than 25 %, so engines that are about as fast count as equal.
    pub fn latency_class(&self, more: usize) -> u32 {
        let slots = self.report.slots.max(1) as f64;
        let rounds = ((self.outstanding() + more) as f64 / slots).max(1.0);
        let us = self.event_interval_us() as f64 * rounds;
        (us.ln() / LATENCY_CLASS_RATIO.ln()) as u32
    }

    /// Returns the number of items that could start at once; 0 for an agent that is leaving.
    pub fn free_slots(&self) -> usize {
        if self.report.leaving {
            return 0;
        }
        self.report.slots.saturating_sub(self.outstanding())
    }
}
