//! What an agent report changed.

use super::item_key::ItemKey;

/// What the scheduler makes of a call of an agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportOutcome {
    /// Items that the agent has but should drop, as `JOB/ITEM`.
    pub drop: Vec<String>,
    /// Items that went back to the queue because the agent no longer has them.
    pub returned: Vec<ItemKey>,
}
