//! Kind of the calls of a route.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Kind of the calls of a route, which decides whether a failed attempt may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum RouteKind {
    /// Idempotent calls, which may run more than once.
    Safe,
    /// Calls that run at most once for each request of a client.
    Unsafe,
    /// Calls whose answers are streams of events.
    Stream,
    /// Batch jobs of trainers; their items may run more than once.
    Rollout,
}

impl RouteKind {
    /// Whether a call that may have run may be repeated.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Rollout)
    }
}
