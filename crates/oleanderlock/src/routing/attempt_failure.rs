//! Failure of an attempt at an endpoint.

/// How an attempt at an endpoint ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The call certainly did not run: nothing was sent, or the endpoint refused it.
    NotRun,
    /// The endpoint may have run the call: its answer was lost, broken or from another instance.
    Unknown,
}
