//! Recall of an item from its agent.

use super::item_key::ItemKey;
use super::recall_reason::RecallReason;

/// An item that its agent should return so that it can run on another engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recall {
    /// Name of the agent that has the item.
    pub agent: String,
    /// Key of the item.
    pub key: ItemKey,
    /// Why it is recalled.
    pub reason: RecallReason,
}
