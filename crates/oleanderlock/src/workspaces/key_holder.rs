//! The workspace and number of a key.

use std::sync::Arc;

/// The workspace that a key belongs to, as a request with that key is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Priority of its requests, instead of that of the route; 0 is the most urgent.
    pub rank: Option<u32>,
    /// Number of the key among those of the workspace, from 0; names the key in logs and metrics.
    pub number: usize,
}
