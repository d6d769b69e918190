//! What the board knows of an agent and its engine.

use crate::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// What an agent says of itself and its engine with each call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Name of the agent.
    pub agent: String,
    /// Incarnation of the engine; empty while none is there.
    pub instance: String,
    /// Service that the engine belongs to.
    pub service: String,
    /// Requests that the engine runs at once; 0 when it takes no work now.
    pub slots: usize,
    /// Whether the agent is stopping, or its engine leaving.
    pub leaving: bool,
    /// Weight version of each model on the engine.
    pub weights: IndexMap<String, u64>,
    /// Model that is being loaded.
    pub loading: Option<String>,
    /// Mean time between two events of a run, in microseconds; 0 when not known.
    pub event_us: u64,
    /// Items that the agent has, as `JOB/ITEM`.
    pub items: Vec<String>,
}

/// What the board knows of an agent.
#[derive(Clone, Debug)]
pub struct AgentState {
    /// What it said last.
    pub report: AgentReport,
    /// When it was heard last.
    pub heard: Millis,
    /// Items that the board has assigned to it.
    pub outstanding: usize,
    /// Until when a load that the board granted counts as running.
    pub load_granted_until: Millis,
}

impl AgentState {
    /// Whether the agent may be given work now.
    pub fn takes_work(&self) -> bool {
        !self.report.leaving && self.report.slots > self.outstanding
    }

    /// Expected time, in microseconds of one event, until `more` items have had their turn.
    pub fn expected_wait(&self, more: usize) -> u64 {
        let slots = self.report.slots.max(1) as u64;
        let load = (self.outstanding + more) as u64;
        load * self.report.event_us.max(1) / slots
    }
}
