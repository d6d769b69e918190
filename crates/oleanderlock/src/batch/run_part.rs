//! What an agent tells of a run while it goes on.

use super::item_key::ItemKey;
use serde::{Deserialize, Serialize};

/// Events that a run of an item has made since its last part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunPart {
    /// The item.
    pub key: ItemKey,
    /// Number of the run; no two runs have the same.
    pub run: u64,
    /// Id of the last event of the part before; 0 when this part holds all events.
    pub after_event: u64,
    /// Id of the last event of this part.
    pub last_event: u64,
    /// What the text of the item grew by.
    pub text: String,
    /// Weight versions that made all events so far, in order of first use.
    pub versions: Vec<u64>,
}
