//! Assignment of an item to an agent.

use super::item_key::ItemKey;
use super::job_item::JobItem;
use super::progress::Progress;

/// An item that the scheduler has assigned to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Name of the agent.
    pub agent: String,
    /// Key of the item.
    pub key: ItemKey,
    /// Request to run, and the score call that follows it.
    pub item: JobItem,
    /// Progress to resume from, if an earlier run was interrupted and its weight versions are new
    /// enough for the job.
    pub progress: Option<Progress>,
}
