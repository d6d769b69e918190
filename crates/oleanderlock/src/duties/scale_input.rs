//! What an order of endpoints is decided by.

use crate::routing::scale_limits::ScaleLimits;

/// What the number of endpoints of a service in a failure domain is decided by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScaleInput {
    /// Calls at a time that arrivals, service times and refusals ask for, waiting work included.
    pub load: f64,
    /// Endpoints that are listed and take work.
    pub listed: u32,
    /// Calls that one endpoint runs at a time.
    pub slots: u32,
    /// Limits of the order.
    pub limits: ScaleLimits,
    /// Endpoints that were ordered last; `None` if there was no order.
    pub ordered: Option<u32>,
}
