//! Refusal of orders that carry an old fencing number.

use crate::guards::Guards;
use crate::prelude::*;

/// Remembers the greatest fencing number seen, for endpoints that do not check it themselves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FenceGate {
    greatest: Fence,
    guards: Guards,
}

impl FenceGate {
    /// As `default`, with guards that may be off; for model checking.
    pub const fn with_guards(guards: Guards) -> Self {
        Self {
            greatest: Fence(0),
            guards,
        }
    }

    /// Accepts an order, or refuses it with [`ErrorKind::OldFence`].
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OldFence`] if a greater number was accepted before.
    pub fn admit(&mut self, fence: Fence) -> Result<(), ErrorKind> {
        if self.guards.fence && fence < self.greatest {
            return Err(ErrorKind::OldFence);
        }
        self.greatest = self.greatest.max(fence);
        Ok(())
    }
}
