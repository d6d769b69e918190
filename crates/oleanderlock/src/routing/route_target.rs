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

/// Chooses a target by the weights; `draw` is a random number. With all weights zero it is the first
/// target; `None` without targets.
pub fn pick_service(targets: &[RouteTarget], draw: u64) -> Option<&str> {
    let total: u64 = targets.iter().map(|to| u64::from(to.weight)).sum();
    if total == 0 {
        return targets.first().map(|to| to.service.as_str());
    }
    let mut left = draw % total;
    for target in targets {
        let weight = u64::from(target.weight);
        if left < weight {
            return Some(&target.service);
        }
        left -= weight;
    }
    None
}

/// Whether [`pick_service`] may choose one of the targets.
pub fn takes_calls(targets: &[RouteTarget], target: &RouteTarget) -> bool {
    let all_zero = targets.iter().all(|to| to.weight == 0);
    target.weight > 0 || (all_zero && targets.first() == Some(target))
}

/// Whether a route with these targets leads to a service.
pub fn leads_to(targets: &[RouteTarget], service: &str) -> bool {
    let mut of_service = targets.iter().filter(|target| target.service == service);
    of_service.any(|target| takes_calls(targets, target))
}
