//! Use of one key.

use std::sync::Arc;

/// Use of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyUse {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Number of the key among those of the workspace, from 0.
    pub number: usize,
    /// Requests with the key.
    pub requests: u64,
}
