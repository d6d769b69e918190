//! Phase of an item of a batch job.

/// Phase of an item of a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemPhase {
    /// It waits to be assigned to an agent.
    Waiting,
    /// It is assigned to an agent.
    Running {
        /// Name of the agent.
        agent: String,
    },
    /// It has a result, or its job has ended.
    Finished,
}
