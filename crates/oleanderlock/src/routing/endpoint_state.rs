//! Whether an endpoint takes new work.

use serde::{Deserialize, Serialize};

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes work.
    Ready,
    /// It is leaving: it finishes what it has.
    Draining,
}
