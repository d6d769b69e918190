//! How a step starts at an entry.

/// How a step starts at an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepStart {
    /// Its trainer has opened it.
    Opened,
    /// This entry takes it over from another one, or from itself before a restart.
    TakenOver,
}
