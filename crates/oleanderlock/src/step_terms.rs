//! What identifies a step and binds its samples.

use crate::sample_guards::SampleGuards;
use crate::staleness::Staleness;
use crate::step_limits::StepLimits;
use crate::step_shape::{StepShape, StepTag};
use derive_more::{Display, Error};

/// Why a step can't be opened.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq, Hash)]
pub enum StepError {
    /// The step has no slots.
    #[display("the step has no slots")]
    NoSlots,
    /// The step has more slots than the limit.
    #[display("the step has {slots} slots, more than {limit}")]
    TooManySlots {
        /// Slots of the step.
        slots: u32,
        /// Most slots allowed.
        limit: u32,
    },
    /// The limits leave no room for a single attempt.
    #[display("the limits leave no room for a single attempt")]
    NoRoom,
}

/// What identifies a step and binds its samples.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StepTerms {
    /// Tag of the trainer, the step and its shape.
    pub tag: StepTag,
    /// The slots.
    pub shape: StepShape,
    /// Staleness bound of the contract.
    pub staleness: Staleness,
    /// Bounds on memory and work.
    pub limits: StepLimits,
    /// SampleGuards; [`SampleGuards::ALL`] but in the model check.
    pub guards: SampleGuards,
}

impl StepTerms {
    /// Checks that the step has slots and that the limits leave room to make them.
    pub const fn check(&self, slots: u32) -> Result<(), StepError> {
        let limits = &self.limits;
        if slots == 0 {
            return Err(StepError::NoSlots);
        }
        if slots > limits.slots {
            return Err(StepError::TooManySlots {
                slots,
                limit: limits.slots,
            });
        }
        if limits.in_flight == 0 || limits.sample_bytes > limits.payload_bytes {
            return Err(StepError::NoRoom);
        }
        Ok(())
    }
}
