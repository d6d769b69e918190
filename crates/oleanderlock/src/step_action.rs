//! Actions that a step asks its owner to take.

use crate::prelude::*;
use crate::pull::{PullAnswer, PullId, PullRefusal};
use strum::{Display, IntoStaticStr, VariantArray};

/// A counter of a step.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum StepCounter {
    /// A result was accepted as the sample of its slot.
    Settled,
    /// A result was dropped because its attempt is no longer in flight or its slot is settled.
    LateResult,
    /// A result was discarded because the version of some tokens is unknown.
    UnknownVersion,
    /// A result was discarded because its segments don't cover all of its tokens.
    NotCovered,
    /// A result was discarded because it exceeds
    /// [`sample_bytes`](crate::step_limits::StepLimits::sample_bytes).
    TooLarge,
    /// An attempt failed.
    Failed,
    /// An accepted sample was discarded before delivery because it had become too old.
    TooOld,
    /// An attempt was cancelled because its sample would have been too old.
    OutdatedAttempt,
    /// The cursor of a pull lacked slots of the one before, as after a restart of the trainer.
    Rewound,
    /// A second attempt was started for a straggler.
    Hedged,
}

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
