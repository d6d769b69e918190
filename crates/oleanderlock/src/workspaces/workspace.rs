//! A workspace of the configuration.

use super::key_digest::KeyDigest;
use serde::{Deserialize, Serialize};

/// A workspace of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name, which endpoints and usage reports are given.
    pub name: String,
    /// Digests of the keys that its clients use; empty in messages to processes that check none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, instead of that of the route; 0 is the most urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
}

/// Returns the priority of the workspace with this name; `None` if it has none of its own.
pub fn rank_of(workspaces: &[Workspace], name: &str) -> Option<u32> {
    let found = workspaces.iter().find(|workspace| workspace.name == name);
    found.and_then(|workspace| workspace.rank)
}
