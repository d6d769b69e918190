//! Work that occupies a slot of an endpoint.

use crate::prelude::*;
use crate::work::Work;

/// Work that occupies a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningWork {
    /// The work.
    pub work: Work,
    /// Expected service time.
    pub service: Millis,
    /// When it was given the slot.
    pub since: Millis,
}
