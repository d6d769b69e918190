//! What is known of a job besides its items.

/// What is known of a job besides its items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRecord {
    /// Number of items.
    pub total: usize,
    /// Unix time of the submission, in milliseconds.
    pub submitted_unix_ms: u64,
    /// Workspace that submitted it; `None` if it was submitted without a key.
    pub workspace: Option<String>,
}
