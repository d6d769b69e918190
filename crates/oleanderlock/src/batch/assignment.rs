//! One item that goes to an agent.

use super::item_key::ItemKey;
use super::job_item::JobItem;
use super::progress::Progress;

/// One item that goes to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The agent.
    pub agent: String,
    /// The item.
    pub key: ItemKey,
    /// What to run.
    pub item: JobItem,
    /// Where to go on, when an earlier run was interrupted.
    pub progress: Option<Progress>,
}
