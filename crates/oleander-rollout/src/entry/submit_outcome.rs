//! Outcome of writing a job to the store.

/// Outcome of writing a job to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum SubmitOutcome {
    /// The job was written now.
    Accepted,
    /// The job was already in the store.
    AcceptedBefore,
    /// A job of another workspace has its id.
    ForeignId,
    /// The job was not written, and will not be.
    Refused,
    /// The job was not written, and will not be: the leading dispatcher has no memory for it.
    NoMemory,
    /// The job may have been written, or may still be.
    Unknown,
}
