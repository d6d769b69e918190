//! Result of probing an endpoint.

use crate::prelude::*;

/// Result of probing an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeResult {
    /// Whether the endpoint responded.
    pub up: bool,
    /// Weight version of an engine; `None` when it has none or does not know it.
    pub version: Option<Version>,
}
