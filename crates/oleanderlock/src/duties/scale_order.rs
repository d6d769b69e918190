//! An order of endpoints.

use serde::{Deserialize, Serialize};

/// An order of the number of endpoints of a service in a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ScaleOrder {
    /// Name of the service.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Number of endpoints.
    pub count: u32,
    /// Whether the platform has taken the order.
    pub taken: bool,
}

impl ScaleOrder {
    /// Whether both orders are about the same service and failure domain.
    pub fn is_about(&self, other: &Self) -> bool {
        self.service == other.service && self.domain == other.domain
    }
}
