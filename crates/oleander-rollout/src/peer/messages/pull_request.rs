//! The report of an agent that asks for work.

use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::run_part::RunPart;
use serde::{Deserialize, Serialize};

/// The state of an agent, sent repeatedly; the response brings work.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PullRequest {
    /// State of the agent and its engine.
    pub report: AgentReport,
    /// Progress of its long runs since the last request.
    pub parts: Vec<RunPart>,
}
