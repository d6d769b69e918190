//! How attempts end.

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a whole answer; observed by [`EndpointChoice::observe`] before.
    Finished,
    /// The agent refused it.
    Refused,
    /// It was cancelled.
    Cancelled,
    /// The endpoint or the connection to it failed.
    Failed,
}
