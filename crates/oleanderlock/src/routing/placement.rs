//! Whether an item may be sent to an engine, by the routes in force.
//!
//! A batch job lives for seconds to minutes, in which its route may move, disappear and come back. The
//! scheduler decides by this when it assigns an item, and the agent once more right before each send.

use super::route_table::RouteTable;
use super::route_target::leads_to;

/// Whether an item may be sent to an engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// The route of its job leads to the service.
    Here,
    /// The route leads to other services.
    Elsewhere,
    /// The configuration has no route for the job.
    Nowhere,
    /// No configuration is known. A route that is not known is not a removed one.
    Unknown,
}

impl Placement {
    /// Returns the placement at `service` of the items of a job that was submitted to a host and path;
    /// `routes` is the newest known configuration.
    pub fn of(routes: Option<&RouteTable>, host: &str, path: &str, service: &str) -> Self {
        let Some(routes) = routes else {
            return Self::Unknown;
        };
        let Some(route) = routes.find(host, path) else {
            return Self::Nowhere;
        };
        if leads_to(&route.targets, service) {
            Self::Here
        } else {
            Self::Elsewhere
        }
    }
}
