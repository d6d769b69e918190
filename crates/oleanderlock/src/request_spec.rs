//! A request as an entry accepts it.

use crate::prelude::*;

/// Limits on attempts and sends of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TrackConfig {
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Maximum number of sends of one ticket, including the first.
    pub max_sends: u32,
    /// Delay from a broken connection to the second send of a ticket; doubles with each further
    /// send.
    pub resend_after: Millis,
    /// Time before the deadline at which a bury message is sent for an attempt that has not
    /// started.
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
    /// On any endpoint that routing chooses.
    Free,
    /// On one agent incarnation only, to which its idempotency key is bound.
    Bound {
        /// The only incarnation that may run it.
        incarnation: Incarnation,
        /// The caller declares that it has sent this key in no earlier call, so that the request
        /// can be reported as not run without asking the agent.
        first_call: bool,
    },
}

/// A request as an entry accepts it; times are on the entry's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestSpec {
    /// Identity of the request; derived from the idempotency key if there is one.
    pub id: RequestId,
    /// Whether running the work more than once is allowed.
    pub idempotent: bool,
    /// Latest time at which the caller gets an answer.
    pub deadline: Millis,
    /// Number of the first attempt: 0 without an idempotency key, else random for each call, so
    /// that two calls with one key have different tickets.
    pub first_attempt: u32,
    /// Where the request may run.
    pub placement: Placement,
}
