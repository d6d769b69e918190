//! The tag of a step.

use derive_more::Display;

/// Identifies a step of a trainer together with its shape, so that cursors of other steps are
/// rejected.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash)]
#[display("{_0:016x}")]
pub struct StepTag(pub u64);
