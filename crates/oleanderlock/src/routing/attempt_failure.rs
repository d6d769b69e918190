//! How an attempt at an endpoint failed.

/// How an attempt at an endpoint ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing was sent, or the endpoint says that it did not run the call.
    NotRun,
    /// The endpoint may have run the call: its answer was lost, broken or not its own.
    Unknown,
}
