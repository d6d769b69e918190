//! Progress of a weight rollout.

/// Progress of the rollout of a model's newest version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Workers that serve the newest version.
    pub done: usize,
    /// Workers that load a version or were ordered to.
    pub loading: usize,
    /// Workers whose version is unknown.
    pub quarantined: usize,
    /// All workers.
    pub workers: usize,
}
