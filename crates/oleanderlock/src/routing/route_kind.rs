//! What may be repeated on a route.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The kind of a route decides which attempts may follow a failed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "lowercase")]
pub enum RouteKind {
    /// Idempotent calls: they may run more than once.
    Safe,
    /// Calls that run at most once for each attempt of the client.
    Unsafe,
    /// Answers are series of events.
    Stream,
    /// Batch jobs of a trainer.
    Rollout,
}

impl RouteKind {
    /// Whether a call that may have run may be sent again.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Rollout)
    }
}
