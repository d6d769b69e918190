//! The product's policy and the baselines that it is compared with.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// How endpoints are chosen and work is admitted; all but `Product` are baselines for the bench.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Affinity, bounded load, ejection, shares, early refusal.
    #[default]
    Product,
    /// A random endpoint.
    Random,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest own requests in flight.
    LeastOutstanding,
    /// Each endpoint in turn; no shares, priorities or hedging, immediate retries.
    Naive,
}

impl Policy {
    /// Longest series of immediate retries of the naive baseline.
    pub const NAIVE_RETRIES: u32 = 3;

    /// Returns whether agents apply shares, priorities and early refusal.
    pub const fn has_shares(self) -> bool {
        !matches!(self, Self::Naive)
    }
}
