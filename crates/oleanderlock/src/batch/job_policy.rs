//! Limits and priorities of a batch job.

use crate::prelude::*;
use crate::routing::route_target::{RouteTarget, leads_to, pick_service};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Limits and rules for a batch job, taken from the configuration of its route and workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobPolicy {
    /// Services of the route, each with its weight; empty while the route is not known or has been
    /// removed, so that no engine runs the items.
    pub targets: Vec<RouteTarget>,
    /// Number of failed runs after which an item is given up.
    pub attempts: u32,
    /// Time from the submission until the results are due.
    pub due_after: Millis,
    /// Time from the submission until unfinished items may be given up.
    pub keep: Millis,
    /// Whether all tokens of a sample must come from a single weight version.
    pub single_version: bool,
    /// Priority among jobs that are due at the same time; 0 is the most urgent.
    pub rank: u32,
    /// Priority that engines are told; `None` if the job's workspace has none.
    pub workspace_rank: Option<u32>,
}

impl JobPolicy {
    /// Whether engines of a service may run items of the job.
    pub fn allows(&self, service: Option<&str>) -> bool {
        service.is_some_and(|service| leads_to(&self.targets, service))
    }

    /// Returns the service that an item gets by the weights of the route: always the same one for the
    /// same item and targets. `None` without targets.
    pub fn service_of(&self, item: &str) -> Option<&str> {
        if let [only] = self.targets.as_slice() {
            return Some(&only.service);
        }
        let mut hasher = DefaultHasher::new();
        item.hash(&mut hasher);
        pick_service(&self.targets, hasher.finish())
    }
}
