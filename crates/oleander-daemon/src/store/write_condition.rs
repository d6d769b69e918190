//! Condition of a write.

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}
