//! A window whose report is written and may not have arrived.

use super::WorkspaceCounts;
use serde::{Deserialize, Serialize};

/// A window whose report is written and may not have arrived.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PendingWindow {
    /// Number of the window.
    pub window: u64,
    /// Requests by workspace; never changed once written.
    pub counts: WorkspaceCounts,
}
