//! How much of a run has been reported to the leader.

/// How much of a run has been reported to the leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedProgress {
    /// Random id of the run; 0 before it starts.
    pub run: u64,
    /// Number of the last event that was reported.
    pub last_event: u64,
    /// Length of the text that was reported, in bytes.
    pub bytes: usize,
}
