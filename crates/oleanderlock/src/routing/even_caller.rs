//! Place of a process among those that choose endpoints.

/// Place of a process among those of the same role that choose endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvenCaller {
    /// Number of processes of the role; 0 if it is not known.
    pub callers: usize,
    /// Place among them, from 0.
    pub index: usize,
}
