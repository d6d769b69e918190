//! Pulls, by which a trainer gets samples, and their answers.

use crate::cursor_error::CursorError;
use crate::prelude::*;
use crate::whole_answer::WholeAnswer;
use derive_more::{Display, Error};

/// Identifies one pull within the process that received it.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PullId(pub u64);

/// A trainer's request for samples of a step that it doesn't have yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pull {
    /// Chosen by the caller of the step; returned with the answer.
    pub id: PullId,
    /// Text form of the trainer's cursor.
    pub cursor: String,
    /// Weight version of the trainer.
    pub version: Version,
    /// When the pull is answered even if no sample is available.
    pub until: Millis,
}

/// A sample and the slot that it fills.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotSample {
    /// Identity of the slot.
    pub slot: SlotKey,
    /// The sample's answer.
    pub answer: WholeAnswer,
}

/// The answer to a pull.
///
/// The trainer accepts it only if `from` and `version` equal its own when it arrives. It then takes
/// all samples and continues from `cursor`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PullAnswer {
    /// Text form of the cursor of the pull.
    pub from: String,
    /// Text form of the cursor after the samples are accepted.
    pub cursor: String,
    /// Trainer version against which the staleness of the samples was checked.
    pub version: Version,
    /// Samples of slots that `from` does not contain.
    pub samples: Vec<SlotSample>,
    /// Number of slots that `cursor` does not contain; at 0 the step is complete.
    pub remaining: u32,
}

/// Why a pull got no answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum PullRefusal {
    /// The cursor is malformed or belongs to another step.
    #[display("{_0}")]
    BadCursor(CursorError),
    /// A newer pull of the same trainer arrived.
    #[display("superseded by a newer pull")]
    Superseded,
    /// The step was moved to another process.
    #[display("the step has moved")]
    Moved,
}

impl PullRefusal {
    /// Returns the error kind that the trainer gets.
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::BadCursor(_) => ErrorKind::BadRequest,
            Self::Superseded => ErrorKind::Conflict,
            Self::Moved => ErrorKind::Leaving,
        }
    }
}
