//! Phases of an item of a batch job.

/// Where an item stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemPhase {
    /// It waits for an engine.
    Waiting,
    /// An agent has it.
    Running {
        /// Name of the agent.
        agent: String,
    },
    /// It has a result, or its job has ended.
    Finished,
}
