//! Calls of an entry to a service in a failure domain.

use serde::{Deserialize, Serialize};

/// Calls of an entry to the endpoints of a service in a failure domain, since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Name of the service.
    pub service: String,
    /// Failure domain of the endpoints.
    pub domain: String,
    /// Calls that were sent.
    pub started: u64,
    /// Calls that have ended, refused ones included.
    pub ended: u64,
    /// Time that the ended calls took, in milliseconds.
    pub busy_ms: u64,
    /// Calls that an endpoint refused because it was full.
    pub refused: u64,
}
