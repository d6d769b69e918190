//! A step as its trainer requests it.

use crate::prelude::*;
use crate::steps::group_spec::GroupSpec;
use crate::steps::sample_spec::SampleSpec;
use oleanderlock::step_shape::StepShape;
use serde::{Deserialize, Serialize};

/// Maximum number of groups in a step.
const GROUPS_MAX: usize = 4096;
/// Maximum number of samples in a step.
const SAMPLES_MAX: usize = 8192;

/// A step as its trainer requests it; the body of the call that opens it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Class of a contract, of the kind for samples.
    pub class: String,
    /// Model that generates the samples.
    pub model: String,
    /// Weight version of the trainer when it opens the step.
    pub version: u64,
    /// The prompt groups.
    pub groups: Vec<GroupSpec>,
}

impl StepSpec {
    /// Checks the numbers of groups, samples and tokens.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BadRequest`] with the limit that is exceeded.
    pub fn check(&self) -> Result<(), HttpError> {
        let samples: usize = self.groups.iter().map(|group| group.lengths.len()).sum();
        let problem = if samples == 0 {
            "a step needs at least one sample".to_owned()
        } else if self.groups.len() > GROUPS_MAX || samples > SAMPLES_MAX {
            format!("a step has at most {GROUPS_MAX} groups and {SAMPLES_MAX} samples")
        } else if self.groups.iter().any(|group| group.lengths.contains(&0)) {
            "a sample needs at least one token".to_owned()
        } else {
            return Ok(());
        };
        Err(HttpError::not_run(ErrorKind::BadRequest).detail(problem))
    }

    /// Returns the numbers of samples by group.
    pub fn shape(&self) -> StepShape {
        StepShape::new(self.groups.iter().map(|group| group.lengths.len() as u32))
    }

    /// Returns the sample of a slot; `None` when the step has no such slot.
    pub fn sample(&self, slot: SlotKey) -> Option<SampleSpec<'_>> {
        let group = self.groups.get(slot.group as usize)?;
        let tokens = *group.lengths.get(slot.index as usize)?;
        Some(SampleSpec {
            prompt: &group.prompt,
            tokens,
        })
    }
}
