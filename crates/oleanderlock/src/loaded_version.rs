//! The weight version that an engine serves.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// The weight version that a worker last reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LoadedVersion {
    /// The engine serves this version.
    Known(Version),
    /// A swap failed and the engine has not yet determined its version; it serves no requests.
    Unknown,
}
