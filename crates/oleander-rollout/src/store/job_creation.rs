//! Result of writing a job to the store.

/// Result of writing a job to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobCreation {
    /// The job was written now.
    Created,
    /// The job was already in the store.
    Existing,
    /// A job of another workspace has its id.
    Foreign,
}
