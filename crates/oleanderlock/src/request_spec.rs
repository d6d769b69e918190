//! A request as an entry accepts it.

use crate::prelude::*;

/// Limits of a request's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TrackConfig {
    /// Attempts at most, the first one included.
    pub max_attempts: u32,
    /// Sends of one ticket at most, the first one included.
    pub max_sends: u32,
    /// Time from a broken connection to the second send of a ticket; doubles with each further one.
    pub resend_after: Millis,
    /// How long before the deadline the agent is asked to bury an attempt that has not started.
    pub bury_margin: Millis,
}

impl Default for TrackConfig {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            max_sends: 6,
            resend_after: Millis(25),
            bury_margin: Millis(50),
        }
    }
}

/// Where a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Placement {
    /// At any endpoint that routing chooses.
    Free,
    /// At one agent incarnation only, because of its idempotency key.
    Bound {
        /// The only incarnation that may run it.
        incarnation: Incarnation,
        /// The caller vouches that it has sent this key in no earlier call.
        first_call: bool,
    },
}

/// A request as an entry accepts it; times are on the entry's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestSpec {
    /// Identity; derived from the key if there is one.
    pub id: RequestId,
    /// Whether the work may be repeated.
    pub idempotent: bool,
    /// When the caller is answered at the latest.
    pub deadline: Millis,
    /// Number of the first attempt; 0, or drawn for each call with a key, so that two calls with
    /// one key have different tickets.
    pub first_attempt: u32,
    /// Where it may run.
    pub placement: Placement,
}
