//! An attempt that an entry sends to an agent.

use crate::prelude::*;

/// One attempt of one request. All times are on the clock of the agent in its ticket.
///
/// All submissions of one request to one agent incarnation have the same `horizon`, so that the
/// agent can drop the record of a request and still refuse a duplicate that arrives later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Submission {
    /// Identifies the attempt and the agent incarnation.
    pub ticket: Ticket,
    /// Whether running the work more than once is allowed.
    pub idempotent: bool,
    /// Latest start of this attempt.
    pub deadline: Millis,
    /// Latest start of any attempt of the request at this agent: the expiry of its idempotency key,
    /// or its deadline if it has none.
    pub horizon: Millis,
    /// Hash of target and body; distinguishes a retry from another request with the same key.
    pub fingerprint: u64,
}
