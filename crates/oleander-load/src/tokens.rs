//! Tokens that a deployment's entries demand.

/// One token for each kind of caller; `None` lets everybody in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Token of operators; the deployment itself shows it.
    pub operators: Option<String>,
    /// Token of trainers.
    pub trainers: Option<String>,
    /// Token of callers.
    pub callers: Option<String>,
}
