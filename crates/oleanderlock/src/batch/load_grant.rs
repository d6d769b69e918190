//! A load of weights that an agent may start.

/// A load of weights that an agent may order now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadGrant {
    /// The agent.
    pub agent: String,
    /// Model to load.
    pub model: String,
    /// Version to load.
    pub version: u64,
}
