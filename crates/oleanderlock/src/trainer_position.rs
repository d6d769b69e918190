//! The trainer's side of delivery: which answers count.

use crate::prelude::*;
use crate::pull::{PullAnswer, SlotSample};
use crate::sample_guards::SampleGuards;
use strum::{Display, IntoStaticStr, VariantArray};

/// Why an answer does not count.
#[derive(Clone, Copy, Debug, Display, IntoStaticStr, VariantArray, PartialEq, Eq, Hash)]
#[strum(serialize_all = "kebab-case")]
pub enum AnswerMismatch {
    /// The answer follows another cursor than the trainer's own.
    OtherCursor,
    /// The answer was judged against another version than the trainer's own.
    OtherVersion,
}

/// What a trainer has of one step.
///
/// Kept with the trainer's checkpoint, together with the samples taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TrainerPosition {
    cursor: String,
    version: Version,
}

impl TrainerPosition {
    /// Returns the intake of a trainer at `version` that has nothing of the step yet.
    pub const fn new(version: Version) -> Self {
        Self {
            cursor: String::new(),
            version,
        }
    }

    /// Returns the cursor to pull with.
    pub fn cursor(&self) -> &str {
        &self.cursor
    }

    /// Returns the version to pull with.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Sets the trainer's version once its weights have changed.
    pub const fn set_version(&mut self, version: Version) {
        self.version = version;
    }

    /// Takes the samples of an answer that counts, all of them or none.
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
