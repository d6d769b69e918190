//! Report on a weight order.

use crate::agent::swap_outcome::SwapOutcome;
use crate::prelude::*;

/// Report on a weight order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SwapReport {
    /// Link address of the entry that sent the order.
    pub entry: String,
    /// The model.
    pub model: String,
    /// The version to load.
    pub version: Version,
    /// The outcome.
    pub outcome: SwapOutcome,
}
