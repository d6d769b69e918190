//! The position of a trainer in a step, which decides which pull answers it accepts.

use crate::prelude::*;
use crate::pull::{PullAnswer, SlotSample};
use crate::sample_guards::SampleGuards;
use strum::{Display, IntoStaticStr, VariantArray};

/// Why a pull answer is not accepted.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, VariantArray, PartialEq, Eq, Hash)]
#[strum(serialize_all = "kebab-case")]
pub enum AnswerMismatch {
    /// The answer is for another cursor than the trainer's.
    OtherCursor,
    /// The staleness was checked against another version than the trainer's.
    OtherVersion,
}

/// Cursor and version of a trainer in one step.
///
/// Must be saved in the trainer's checkpoint together with the accepted samples.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TrainerPosition {
    cursor: String,
    version: Version,
}

impl TrainerPosition {
    /// Returns the position of a trainer at `version` without any sample of the step.
    pub const fn new(version: Version) -> Self {
        Self {
            cursor: String::new(),
            version,
        }
    }

    /// Returns the text form of the cursor for the next pull.
    pub fn cursor(&self) -> &str {
        &self.cursor
    }

    /// Returns the weight version for the next pull.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Sets the weight version after the trainer has updated its weights.
    pub const fn set_version(&mut self, version: Version) {
        self.version = version;
    }

    /// Advances the cursor and returns the samples of an answer, all of them or none.
    ///
    /// # Errors
    ///
    /// The mismatch, if cursor or version of the answer differ from this position, which is then
    /// unchanged.
    pub fn accept(
        &mut self,
        answer: PullAnswer,
        guards: &SampleGuards,
    ) -> Result<Vec<SlotSample>, AnswerMismatch> {
        if guards.follows_cursor && answer.from != self.cursor {
            return Err(AnswerMismatch::OtherCursor);
        }
        if guards.matches_version && answer.version != self.version {
            return Err(AnswerMismatch::OtherVersion);
        }
        self.cursor = answer.cursor;
        Ok(answer.samples)
    }
}
