//! The next call of a watch of the store.

use crate::prelude::*;

/// The next call of a watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchCall {
    /// List all objects, because the missed changes are unknown or no longer available.
    List,
    /// Watch for changes after a revision.
    Watch {
        /// The last revision that was applied.
        after: Generation,
    },
}
