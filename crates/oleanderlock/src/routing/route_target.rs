//! Target of a route.

use serde::{Deserialize, Serialize};

/// A service that receives a share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the calls, relative to the other targets of the route.
    pub weight: u32,
}
