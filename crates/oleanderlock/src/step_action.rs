//! Actions that a step asks its owner to take.

use crate::prelude::*;
use crate::pull::{PullAnswer, PullId, PullRefusal};
use crate::step_counter::StepCounter;

/// An action that a step asks its owner to take.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StepAction {
    /// Start an attempt to generate a sample.
    Generate {
        /// The slot to fill.
        slot: SlotKey,
        /// Number of the attempt, counted from zero per slot and owner.
        attempt: u32,
        /// Oldest version whose tokens may be delivered now.
        min_version: Version,
    },
    /// Stop an attempt; its result will not be used.
    Cancel {
        /// The slot of the attempt.
        slot: SlotKey,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Answer a pull.
    Deliver {
        /// The pull.
        pull: PullId,
        /// The answer.
        answer: PullAnswer,
    },
    /// Refuse a pull.
    Refuse {
        /// The pull.
        pull: PullId,
        /// The reason.
        refusal: PullRefusal,
    },
    /// Keep a pull open until another action answers it.
    Wait {
        /// The pull.
        pull: PullId,
        /// Latest time to call [`Step::tick`](crate::step::Step::tick).
        until: Millis,
    },
    /// Increment a counter.
    Count(StepCounter),
}
