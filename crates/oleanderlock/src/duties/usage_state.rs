//! State of the usage reports in the record of the duty.

use super::pending_window::PendingWindow;
use serde::{Deserialize, Serialize};

/// State of the usage reports in the record of the duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageState {
    /// Last window that is written; all earlier ones are too.
    pub through: u64,
    /// Windows that are written and whose report may not have arrived, oldest first.
    pub pending: Vec<PendingWindow>,
}
