//! Name of a step.

/// Identifies a step; printed as `trainer/step`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StepName {
    /// Name of the trainer.
    pub trainer: String,
    /// Number of the step.
    pub step: u64,
}

impl std::fmt::Display for StepName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.trainer, self.step)
    }
}
