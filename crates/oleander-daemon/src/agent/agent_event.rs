//! What the control thread of an agent reacts to.

use crate::agent::engine_client::SwapEnd;
use crate::entry::attempt::AttemptEnd;
use crate::prelude::*;
use std::sync::mpsc::Sender;

/// One event for the control thread of an agent.
#[derive(Debug)]
pub enum AgentEvent {
    /// A message of another process.
    Frame(Box<wire::Frame>),
    /// A message that was dropped.
    FrameRefused(LinkError),
    /// An attempt ended at the endpoint.
    Ended(AttemptEnd),
    /// The endpoint was asked how it is.
    Probed(Probe),
    /// An ordered swap ended.
    Swapped(SwapReport),
    /// The process was told to stop.
    Stop,
    /// Someone asks for the state over HTTP.
    Describe(Sender<AgentSummary>),
    /// An operator ordered the agent to leave service.
    Drain,
}

/// What an endpoint said when asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Whether it answered.
    pub up: bool,
    /// Weight version of an engine; `None` when it has none or does not know.
    pub version: Option<Version>,
}

/// What became of a weight order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SwapReport {
    /// Link address of the entry that gave the order.
    pub entry: String,
    /// The model.
    pub model: String,
    /// The version ordered.
    pub version: Version,
    /// What became of it.
    pub end: SwapEnd,
}

/// The state of an agent, for people.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct AgentSummary {
    /// Name of the instance.
    pub name: String,
    /// Incarnation.
    pub incarnation: String,
    /// Whether the agent takes new work.
    pub ready: bool,
    /// State as reported to entries.
    pub state: &'static str,
    /// Attempts that run.
    pub running: u32,
    /// Attempts that wait.
    pub queued: u32,
    /// Records of past attempts.
    pub records: usize,
    /// Digest of the configuration in force.
    pub config_digest: String,
}
