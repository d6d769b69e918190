//! A worker's report on its weights.

use crate::loaded_version::LoadedVersion;
use crate::prelude::*;

/// A worker's report on its weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightReport {
    /// The version that the engine serves.
    pub loaded: LoadedVersion,
    /// The version that the engine is loading, whoever ordered it.
    pub loading: Option<Version>,
}
