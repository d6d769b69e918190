//! Latest reported status of an agent.

use crate::prelude::*;
use bytes::Bytes;
use oleanderlock::agent_clock::AgentClock;
use oleanderlock::endpoint::{EndpointKey, EndpointReport, EndpointState};
use oleanderlock::load::Load;

/// Latest reported status of one incarnation of an agent, kept by an entry.
#[derive(Clone, Debug)]
pub struct AgentStatus {
    /// The endpoint in the entry's arena.
    pub key: EndpointKey,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Estimate of the agent's clock.
    pub clock: AgentClock,
    /// Weight version; `None` when there is none or it is unknown.
    pub version: Option<Version>,
    /// Whether it accepts work.
    pub state: EndpointState,
    /// Digest of its configuration in force.
    pub config_digest: u64,
    /// Models and services that it serves.
    pub targets: Vec<Bytes>,
}

impl AgentStatus {
    /// Creates the status from the clock in the first report of an incarnation; the other fields are
    /// set by [`AgentStatus::apply_report`].
    pub fn new(
        key: EndpointKey,
        incarnation: Incarnation,
        now: Millis,
        report: &wire::Report,
    ) -> Self {
        Self {
            key,
            incarnation,
            clock: AgentClock::new(Millis(report.clock_ms), now),
            version: None,
            state: EndpointState::Serving,
            config_digest: 0,
            targets: Vec::new(),
        }
    }

    /// Applies a report, and returns it in the form that the endpoint choice needs.
    pub fn apply_report(&mut self, now: Millis, report: &wire::Report) -> EndpointReport {
        self.clock.observe(Millis(report.clock_ms), now);
        let is_known = !report.version_unknown && report.version > 0;
        self.version = is_known.then_some(Version(report.version));
        self.state = state_from_wire(report.state());
        self.config_digest = report.config.unwrap_or_default().digest;
        let targets = report.targets.iter();
        self.targets = targets.map(|target| Bytes::from(target.clone())).collect();
        EndpointReport {
            state: self.state,
            load: report.load.as_ref().map(load_from_wire).unwrap_or_default(),
            version: self.version,
        }
    }
}

fn state_from_wire(state: wire::AgentState) -> EndpointState {
    match state {
        wire::AgentState::Serving => EndpointState::Serving,
        wire::AgentState::Leaving => EndpointState::Leaving,
        wire::AgentState::Quarantined => EndpointState::Quarantined,
    }
}

/// Converts the load in a message.
pub fn load_from_wire(load: &wire::Load) -> Load {
    Load {
        running: load.running,
        queued: load.queued,
        capacity: load.capacity,
        wait: Millis(load.wait_ms),
    }
}
