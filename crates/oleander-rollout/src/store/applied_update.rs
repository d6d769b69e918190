//! What an applied platform update contained.

/// What an applied platform update contained.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AppliedUpdate {
    /// Digest of the endpoints; `None` if the update had none.
    pub endpoints_digest: Option<u64>,
    /// When the sender last knew its configuration to be the newest, in milliseconds after the
    /// arrival of the call; `None` if it didn't.
    pub config_confirmed_ms: Option<i64>,
    /// The same for its endpoints.
    pub endpoints_confirmed_ms: Option<i64>,
}
