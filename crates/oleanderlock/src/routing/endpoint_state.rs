//! State of an endpoint.

use serde::{Deserialize, Serialize};

/// State of an endpoint in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes new calls.
    Ready,
    /// It is leaving: it finishes its calls and takes no new ones.
    Draining,
}
