//! Permission to load weights.

/// Permission for an agent to load a weight version into its engine now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadGrant {
    /// Name of the agent.
    pub agent: String,
    /// Model to load.
    pub model: String,
    /// Version to load.
    pub version: u64,
}
