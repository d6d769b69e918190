//! Configuration of a service.

use serde::{Deserialize, Serialize};

/// What the configuration says of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that an endpoint takes from all callers together.
    pub connections_max: usize,
}
