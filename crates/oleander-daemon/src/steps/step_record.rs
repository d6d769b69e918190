//! The owner of a step, as it is stored.

use crate::steps::step_spec::StepSpec;
use serde::{Deserialize, Serialize};

/// The owner of a trainer's latest step, as it is stored; one object for each trainer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Number of the trainer's latest step.
    pub step: u64,
    /// HTTP address of the entry that runs it.
    pub owner: String,
    /// The step as its trainer opened it, for an entry that takes it over.
    pub spec: StepSpec,
}
