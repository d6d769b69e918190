//! Route of the configuration.

use super::route_kind::RouteKind;
use super::route_target::{RouteTarget, pick_service};
use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host of the calls that the route matches.
    pub host: String,
    /// Prefix of the paths that the route matches; starts and ends with a slash.
    pub path_prefix: String,
    /// Kind of the calls, which decides whether a failed attempt may be repeated.
    pub kind: RouteKind,
    /// Maximum time for a call, whatever deadline its caller sets.
    pub timeout: Millis,
    /// Intended time for each call. A call that takes longer is not cut off, but an idempotent one
    /// is sent to a second endpoint after a part of this time.
    pub objective: Millis,
    /// Maximum number of attempts at endpoints for each request of a client.
    pub attempts: u32,
    /// Priority of the route's calls; 0 is the most urgent.
    pub rank: u32,
    /// Services behind the route, each with its weight.
    pub targets: Vec<RouteTarget>,
    /// Whether an interrupted stream may resume at another endpoint.
    pub resumable: bool,
    /// Time from the submission of a batch job until its results are due.
    pub run_objective: Millis,
    /// Time from the submission of a batch job until its unfinished items may be given up.
    pub keep: Millis,
    /// Whether all tokens of a sample must come from a single weight version.
    pub single_version: bool,
    /// Whether requests need no key in a deployment with workspaces.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
}

impl Route {
    /// Whether a call that may have run may be repeated: an idempotent one, or a stream that may be
    /// resumed.
    pub fn is_repeatable(&self) -> bool {
        self.kind.is_idempotent() || (self.kind == RouteKind::Stream && self.resumable)
    }

    /// Chooses the service of a call by the weights of the targets; `draw` is a random number.
    ///
    /// With all weights zero it is the first target; `None` without targets.
    pub fn pick_service(&self, draw: u64) -> Option<&str> {
        pick_service(&self.targets, draw)
    }
}
