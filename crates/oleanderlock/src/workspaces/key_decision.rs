//! What happens to a request with a key.

/// What happens to a request with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// It is served for the workspace of the key.
    Serve,
    /// It gets 401: no workspace holds the key.
    Unauthorized,
    /// It gets 503: whether the key is valid is not certain now.
    Unconfirmed,
}
