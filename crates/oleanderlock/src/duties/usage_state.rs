//! State of the duties in their record.

use super::pending_window::PendingWindow;
use super::scale_order::ScaleOrder;
use serde::{Deserialize, Serialize};

/// State of the usage reports and scale orders in the record of the duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageState {
    /// Last window that is written; all earlier ones are too.
    pub through: u64,
    /// Windows that are written and whose report may not have arrived, oldest first.
    pub pending: Vec<PendingWindow>,
    /// The last order of each service and failure domain.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub orders: Vec<ScaleOrder>,
}
