//! Identity, shape and limits of a step.

use crate::sample_guards::SampleGuards;
use crate::staleness::Staleness;
use crate::step_error::StepError;
use crate::step_limits::StepLimits;
use crate::step_shape::StepShape;
use crate::step_tag::StepTag;

/// Identity and shape of a step, and what its samples must fulfil.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StepConfig {
    /// Tag of the trainer, the step and its shape.
    pub tag: StepTag,
    /// Groups and slots of the step.
    pub shape: StepShape,
    /// Staleness bound of the contract.
    pub staleness: Staleness,
    /// Limits on memory and attempts.
    pub limits: StepLimits,
    /// Guards of sample delivery; [`SampleGuards::ALL`] except in the model check.
    pub guards: SampleGuards,
}

impl StepConfig {
    /// Checks that the step has slots, not more than allowed, and that the limits allow attempts.
    ///
    /// `slots` is the number of slots of the shape.
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
