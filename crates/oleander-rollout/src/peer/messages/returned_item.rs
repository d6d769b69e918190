//! An item that an agent returned.

use super::ReturnReason;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::progress::Progress;
use serde::{Deserialize, Serialize};

/// An item that an agent returned without a result.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReturnedItem {
    /// Job and id of the item.
    pub key: ItemKey,
    /// Why the agent returned it.
    pub reason: ReturnReason,
    /// Progress of the run, from which the next one resumes; `None` to start again.
    pub progress: Option<Progress>,
    /// Random id of this return, the same in each repetition of the message; 0 from builds that send
    /// none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub id: u64,
}

impl ReturnedItem {
    /// Returns an item with an id of its own.
    pub fn new(key: ItemKey, reason: ReturnReason, progress: Option<Progress>) -> Self {
        Self {
            key,
            reason,
            progress,
            id: rand::random(),
        }
    }
}

fn is_zero(id: &u64) -> bool {
    *id == 0
}
