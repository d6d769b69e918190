//! A key that two workspaces hold.

use derive_more::Display;

/// A key that a workspace shares with an earlier one of the configuration, to which it belongs.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("key {number} of {workspace} belongs to {holder}")]
pub struct KeyConflict {
    /// The workspace that doesn't get the key.
    pub workspace: String,
    /// Number of the key among those of this workspace, from 0.
    pub number: usize,
    /// The workspace that the key belongs to.
    pub holder: String,
}
