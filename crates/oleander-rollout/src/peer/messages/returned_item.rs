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
}
