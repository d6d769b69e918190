//! An item that should move to another engine.

use super::item_key::ItemKey;
use super::recall_reason::RecallReason;

/// An item that should move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recall {
    /// The agent that has it.
    pub agent: String,
    /// The item.
    pub key: ItemKey,
    /// Why it should move.
    pub reason: RecallReason,
}
