//! One route of the configuration.

use super::route_kind::RouteKind;
use super::route_target::RouteTarget;
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that the call must name.
    pub host: String,
    /// Start of the paths that the route takes; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a call is kept waiting.
    pub timeout: Millis,
    /// Time within which an answer is worth most.
    pub objective: Millis,
    /// Most endpoints that one attempt of the client may be sent to.
    pub attempts: u32,
    /// Rank of the route's calls; 0 is the most urgent.
    pub rank: u32,
    /// Services behind the route.
    pub targets: Vec<RouteTarget>,
    /// Whether a stream may go on at another endpoint.
    pub resumable: bool,
    /// Time after the submission of a batch job within which its results are due.
    pub run_objective: Millis,
    /// Time after the submission of a batch job after which its items may be given up.
    pub keep: Millis,
    /// Whether one weight version must have made the whole of a sample.
    pub single_version: bool,
}

impl Route {
    /// Returns the service of a call whose draw is `draw`, by the weights of the targets.
    pub fn pick_service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|to| u64::from(to.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|to| to.service.as_str());
        }
        let mut left = draw % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}
