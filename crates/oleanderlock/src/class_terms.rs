//! The terms of one class of work in a contract.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// What a contract grants to one class of work, and what it demands of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassTerms {
    /// Who waits for the work.
    pub kind: WorkKind,
    /// Share of each endpoint that the class gets under contention, in percent.
    pub share_percent: u32,
    /// Greater goes first among queued work.
    pub priority: u32,
    /// Bound on the 99th percentile of the latency.
    pub latency_bound: Millis,
    /// Deadline of a request that names none.
    pub deadline: Millis,
    /// How many versions older than the trainer's a delivered sample may be; samples only.
    pub staleness_versions: Option<u64>,
}
