//! Counters of steps.

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
