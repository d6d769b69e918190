//! The response to the counts of an entry.

use serde::{Deserialize, Serialize};

/// The response to the counts of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReceipt {
    /// Last window that is written, so that its counts need not be sent again; 0 if unknown.
    pub written_through: u64,
    /// How far the time of day of the entry is behind true time, in milliseconds.
    pub offset_ms: i64,
}
