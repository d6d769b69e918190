//! The report of an agent that asks for work.

use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::run_part::RunPart;
use oleanderlock::duties::service_demand::ServiceDemand;
use oleanderlock::routing::caller_rank::CallerRank;
use serde::{Deserialize, Serialize};

/// The state of an agent, sent repeatedly; the response brings work.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PullRequest {
    /// State of the agent and its engine.
    pub report: AgentReport,
    /// Progress of its long runs since the last request.
    pub parts: Vec<RunPart>,
    /// Place of the agent among the processes that call endpoints; `None` if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_rank: Option<CallerRank>,
    /// Calls to services; empty if the number of endpoints is not ordered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<ServiceDemand>,
}
