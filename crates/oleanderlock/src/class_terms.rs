//! The terms of one class of work in a contract.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// The share, bounds and kind that a contract sets for one class of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassTerms {
    /// Whether callers or trainers wait for the work.
    pub kind: WorkKind,
    /// Share of each endpoint under contention, in percent.
    pub share_percent: u32,
    /// Queued work with a greater priority starts first.
    pub priority: u32,
    /// Bound on the 99th percentile of the latency.
    pub latency_bound: Millis,
    /// Longest time from the arrival of a request to its deadline, and the default.
    pub deadline: Millis,
    /// Maximum number of weight versions that a delivered sample may be behind the trainer; `None`
    /// for interactive classes.
    pub staleness_versions: Option<u64>,
}
