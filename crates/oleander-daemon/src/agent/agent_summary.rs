//! State of an agent for operators.

/// State of an agent for operators, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct AgentSummary {
    /// Name of the instance.
    pub name: String,
    /// Incarnation of the process.
    pub incarnation: String,
    /// Whether the agent takes new work.
    pub ready: bool,
    /// State as reported to entries.
    pub state: &'static str,
    /// Number of running attempts.
    pub running: u32,
    /// Number of queued attempts.
    pub queued: u32,
    /// Number of records of attempts in the ledger.
    pub records: usize,
    /// Digest of the configuration in force, in hexadecimal.
    pub config_digest: String,
}
