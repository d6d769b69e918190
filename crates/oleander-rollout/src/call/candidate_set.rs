//! Endpoints that the next attempt of a call may use.

/// Endpoints that the next attempt of an idempotent call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CandidateSet {
    /// Endpoints that this call has not used yet.
    Untried,
    /// Endpoints that this call has not used yet, or any endpoint if there are none.
    All,
}
