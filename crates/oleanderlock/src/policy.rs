//! The default policy and the baselines that it is compared with in benchmarks.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// How endpoints are chosen and work is admitted.
///
/// `Product` is the policy that the product ships with; the others are baselines for benchmarks.
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
    /// The default: prefix affinity, bounded load, ejection, shares and early refusal.
    #[default]
    Product,
    /// A random endpoint for each attempt.
    Random,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest requests of this entry in flight.
    LeastOutstanding,
    /// Each endpoint in turn; immediate retries, and no shares, priorities or hedging.
    Naive,
}

impl Policy {
    /// Number of immediate retries of one request under [`Policy::Naive`].
    pub const NAIVE_RETRIES: u32 = 3;

    /// Returns whether agents apply shares, priorities and early refusal.
    pub const fn has_shares(self) -> bool {
        !matches!(self, Self::Naive)
    }
}
