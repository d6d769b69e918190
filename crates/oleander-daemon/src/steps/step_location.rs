//! Where a step runs.

use crate::steps::step_handle::StepHandle;

/// Where a step runs.
pub enum StepLocation {
    /// At this entry.
    Local(StepHandle),
    /// At the entry with this HTTP address.
    Remote(String),
}
