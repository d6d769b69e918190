//! What an interrupted run of an item has made.

use serde::{Deserialize, Serialize};

/// What an interrupted run of an item has made, so that another engine may go on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Id of the last whole event.
    pub last_event: u64,
    /// Data of the events so far, separated by line feeds.
    pub text: String,
    /// Weight versions that made the events, in order of first use.
    pub versions: Vec<u64>,
}

impl Progress {
    /// Whether every token was made by `oldest` or a newer version, and so may be kept.
    pub fn is_fresh(&self, oldest: u64) -> bool {
        self.versions.iter().all(|version| *version >= oldest)
    }
}
