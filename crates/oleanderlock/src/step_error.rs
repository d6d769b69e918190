//! Errors of opening a step.

use derive_more::{Display, Error};

/// Why a step can't be opened.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum StepError {
    /// The step has no slots.
    #[display("the step has no slots")]
    NoSlots,
    /// The step has more slots than the limit.
    #[display("the step has {slots} slots, more than the limit of {limit}")]
    TooManySlots {
        /// Number of slots of the step.
        slots: u32,
        /// Most slots of a step.
        limit: u32,
    },
    /// The limits allow no attempt: `in_flight` is zero, or `sample_bytes` exceeds
    /// `payload_bytes`.
    #[display("the limits of the step leave no room for a single attempt")]
    NoRoom,
}
