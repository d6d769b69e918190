//! Configuration of a service.

use super::scale_limits::ScaleLimits;
use serde::{Deserialize, Serialize};

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Path of the health check on its endpoints.
    pub health_path: String,
    /// Maximum number of connections to one endpoint from all callers together.
    pub connections_max: usize,
    /// Limits of the number of its endpoints, if this program orders them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub scale: Option<ScaleLimits>,
    /// Tokens that the memory of each of its engines has room for, if it is a service of engines and
    /// the configuration says so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_tokens: Option<u64>,
}
