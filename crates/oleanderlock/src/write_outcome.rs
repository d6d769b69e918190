//! The outcome of a write to the store.

/// The outcome of a write, determined from a later read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// It took effect and is the latest write of the object.
    TookEffect,
    /// It took effect, and later writes changed the object again.
    Overwritten,
    /// It did not take effect and never will: another write replaced the version it depends on.
    NeverTookEffect,
    /// It may still take effect, or the log no longer reaches back to it.
    CannotTell,
}
