//! Refuses orders with an outdated fencing number.

use crate::guards::Guards;
use crate::prelude::*;

/// Tracks the greatest fencing number of all orders, for endpoints that don't check it themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FenceGate {
    greatest: Fence,
    guards: Guards,
}

impl FenceGate {
    /// Creates a gate with some guards disabled; for model checking only.
    pub const fn with_guards(guards: Guards) -> Self {
        Self {
            greatest: Fence(0),
            guards,
        }
    }

    /// Accepts an order with the fencing number `fence`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OldFence`] if an order with a greater number was accepted before.
    pub fn admit(&mut self, fence: Fence) -> Result<(), ErrorKind> {
        if self.guards.fencing_token && fence < self.greatest {
            return Err(ErrorKind::OldFence);
        }
        self.greatest = self.greatest.max(fence);
        Ok(())
    }
}
