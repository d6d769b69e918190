//! Events for the control thread of an agent.

use crate::agent::agent_summary::AgentSummary;
use crate::agent::probe_result::ProbeResult;
use crate::agent::swap_report::SwapReport;
use crate::entry::attempt::AttemptEnd;
use crate::prelude::*;
use std::sync::mpsc::Sender;

/// An event for the control thread of an agent.
#[derive(Debug)]
pub enum AgentEvent {
    /// A frame from another process.
    Frame(Box<wire::Frame>),
    /// A received message was dropped because it is invalid.
    FrameRefused(LinkError),
    /// An attempt ended at the endpoint.
    Ended(AttemptEnd),
    /// A probe of the endpoint ended.
    Probed(ProbeResult),
    /// A weight order ended.
    Swapped(SwapReport),
    /// A stop signal was received.
    Stop,
    /// A request for the state of the agent; the sender gets the reply.
    Describe(Sender<AgentSummary>),
    /// An operator orders the agent to leave service.
    Drain,
}
