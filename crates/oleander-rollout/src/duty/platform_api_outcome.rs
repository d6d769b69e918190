//! Outcome of a call to the platform's API.

/// Outcome of a call to the platform's API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PlatformApiOutcome {
    /// The platform has taken the call.
    Taken,
    /// The platform will never take the call.
    Rejected(String),
    /// The call may be repeated: it was refused, or its response is missing.
    Again(String),
    /// The call was not sent, because this process may not call any more.
    Withheld,
}
