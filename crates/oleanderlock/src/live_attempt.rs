//! An attempt in flight for a slot of a step.

use crate::prelude::*;

/// An attempt in flight to generate the sample of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LiveAttempt {
    /// Number of the attempt, counted from zero per slot and owner.
    pub number: u32,
    /// When the attempt was started.
    pub started: Millis,
    /// Oldest weight version that the engine has reported for it; `None` before the first report.
    pub oldest: Option<Version>,
}
