//! A trainer's pull and its answer.

use crate::cursor::CursorError;
use crate::prelude::*;
use crate::whole_answer::WholeAnswer;
use derive_more::{Display, Error};

/// Names one pull within the process that received it.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PullId(pub u64);

/// A trainer asks for samples that it does not have.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pull {
    /// Chosen by the caller; actions for this pull carry it.
    pub id: PullId,
    /// Text of the trainer's cursor.
    pub cursor: String,
    /// Weight version of the trainer.
    pub version: Version,
    /// When the pull is answered even if no sample is ready.
    pub until: Millis,
}

/// A sample and the slot that it fills.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotSample {
    /// The slot.
    pub slot: SlotKey,
    /// The sample.
    pub answer: WholeAnswer,
}

/// The answer to a pull.
///
/// It counts for the trainer only if `from` and `version` are the trainer's own when it arrives;
/// the trainer then takes all samples and has `cursor`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PullAnswer {
    /// Text of the cursor that the answer follows.
    pub from: String,
    /// Text of the cursor once the samples are taken.
    pub cursor: String,
    /// Version against which the staleness of the samples was judged.
    pub version: Version,
    /// Samples of slots that `from` does not hold.
    pub samples: Vec<SlotSample>,
    /// Slots that `cursor` does not hold; the step is whole at 0.
    pub remaining: u32,
}

/// Why a pull got no answer.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum PullRefusal {
    /// The cursor is not one of this step.
    #[display("{_0}")]
    BadCursor(CursorError),
    /// A newer pull of the same trainer came.
    #[display("superseded by a newer pull")]
    Superseded,
    /// This process no longer owns the step.
    #[display("the step has moved")]
    Moved,
}

impl PullRefusal {
    /// Returns the error kind under which the refusal is answered.
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::BadCursor(_) => ErrorKind::BadRequest,
            Self::Superseded => ErrorKind::Conflict,
            Self::Moved => ErrorKind::Leaving,
        }
    }
}
