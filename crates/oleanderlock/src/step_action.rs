//! What a step asks its owner to do.

use crate::prelude::*;
use crate::pull::{PullAnswer, PullId, PullRefusal};
use strum::{Display, IntoStaticStr, VariantArray};

/// Something that a step counts.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr, VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum StepCounter {
    /// A slot was settled by a result.
    Settled,
    /// A result came from an attempt that is no longer in flight.
    LateResult,
    /// A result was discarded because a version in it is unknown.
    UnknownVersion,
    /// A result was discarded because its segments don't cover it.
    NotCovered,
    /// A result was discarded because it is larger than the limit.
    TooLarge,
    /// An attempt failed.
    Failed,
    /// A settled sample had grown too old and was replaced before delivery.
    TooOld,
    /// An attempt was cancelled because its sample would be too old.
    OutdatedAttempt,
    /// A pull named an older cursor than the one before.
    Rewound,
    /// A second attempt was started for a straggler.
    Hedged,
}

/// What a step asks its owner to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StepAction {
    /// Start an attempt to make a sample.
    Generate {
        /// The slot to fill.
        slot: SlotKey,
        /// Counts the attempts of the slot at this owner from zero.
        attempt: u32,
        /// Oldest version that could be delivered now.
        min_version: Version,
    },
    /// Stop an attempt; its result will not be used.
    Cancel {
        /// The slot.
        slot: SlotKey,
        /// The attempt.
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
        /// Why.
        refusal: PullRefusal,
    },
    /// Keep a pull open, at most until the given time.
    Wait {
        /// The pull.
        pull: PullId,
        /// When to call [`crate::step::Step::tick`] at the latest.
        until: Millis,
    },
    /// Add one to a counter.
    Count(StepCounter),
}
