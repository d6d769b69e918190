//! Counts of an entry for the leading dispatcher.

use super::WorkspaceCounts;
use super::service_demand::ServiceDemand;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counts of an entry for the leading dispatcher: of all windows that are not known to be written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Name of the entry's node.
    pub node: String,
    /// Identifies the process; another one after a restart.
    pub process: u64,
    /// Time of day of the process in milliseconds, by the time of day at its start.
    pub unix_ms: u64,
    /// Time through which the counts are final, in milliseconds of true time as the process knows
    /// it; the largest number in the last report of a process.
    pub complete_through_ms: u64,
    /// Requests that began to run, by window and workspace.
    pub windows: BTreeMap<u64, WorkspaceCounts>,
    /// Calls to services whose number of endpoints is ordered.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<ServiceDemand>,
}
