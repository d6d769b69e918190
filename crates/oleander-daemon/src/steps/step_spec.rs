//! What a trainer asks for when it opens a step.

use crate::prelude::*;
use oleanderlock::step_shape::StepShape;
use serde::{Deserialize, Serialize};

/// Most groups of a step.
const GROUPS_MAX: usize = 4096;
/// Most samples of a step.
const SAMPLES_MAX: usize = 8192;

/// A step as its trainer opens it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Class of the contract.
    pub class: String,
    /// Model that makes the samples.
    pub model: String,
    /// Weight version of the trainer.
    pub version: u64,
    /// The prompt groups.
    pub groups: Vec<GroupSpec>,
}

/// One prompt group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// The prompt that all samples of the group share.
    pub prompt: String,
    /// Tokens of each sample.
    pub lengths: Vec<u64>,
}

/// Names one step of one trainer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StepName {
    /// The trainer.
    pub trainer: String,
    /// Number of the step.
    pub step: u64,
}

impl StepSpec {
    /// Checks the sizes.
    ///
    /// # Errors
    ///
    /// A fault that says which limit is broken.
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

    /// Returns the shape of the step.
    pub fn shape(&self) -> StepShape {
        StepShape::new(self.groups.iter().map(|group| group.lengths.len() as u32))
    }

    /// Returns the prompt and the tokens of a slot.
    pub fn sample(&self, slot: SlotKey) -> Option<SampleSpec<'_>> {
        let group = self.groups.get(slot.group as usize)?;
        let tokens = *group.lengths.get(slot.index as usize)?;
        Some(SampleSpec {
            prompt: &group.prompt,
            tokens,
        })
    }
}

/// One sample to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleSpec<'a> {
    /// The prompt.
    pub prompt: &'a str,
    /// Tokens of the sample.
    pub tokens: u64,
}

impl std::fmt::Display for StepName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.trainer, self.step)
    }
}
