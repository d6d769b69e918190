//! One attempt as an agent receives it.

use crate::prelude::*;

/// One attempt of one request; all times are on the clock of the agent that it names.
///
/// Every submission of one request to one agent incarnation carries the same `horizon`. That is
/// what lets the agent forget a request and still refuse a copy of it that arrives later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Submission {
    /// Names the attempt.
    pub ticket: Ticket,
    /// Whether the work may be repeated.
    pub idempotent: bool,
    /// Latest start of this attempt.
    pub deadline: Millis,
    /// Latest start of any attempt of the request here: the expiry of its key, or its deadline if
    /// it has no key.
    pub horizon: Millis,
    /// Hash of target and body; tells a retry from another request with the same key.
    pub fingerprint: u64,
}
