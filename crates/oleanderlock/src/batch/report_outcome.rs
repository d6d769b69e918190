//! Outcome of an agent report.

use super::item_key::ItemKey;

/// Differences between an agent's report and the scheduler's state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportOutcome {
    /// Items that the agent must drop, as `JOB/ITEM`: finished, unknown or assigned to another
    /// agent.
    pub drop: Vec<String>,
    /// Items returned to the queue because the agent no longer has them.
    pub returned: Vec<ItemKey>,
}
