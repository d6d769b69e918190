//! Incremental output of a run.

use super::item_key::ItemKey;
use serde::{Deserialize, Serialize};

/// Events that a run of an item has generated since the previous part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunPart {
    /// Key of the item.
    pub key: ItemKey,
    /// Number that is unique to the run.
    pub run: u64,
    /// Id of the last event of the previous part; 0 if this part starts with the first event.
    pub after_event: u64,
    /// Id of the last event of this part.
    pub last_event: u64,
    /// Text appended since the previous part, with the line feed that separates them.
    pub text: String,
    /// Weight versions that generated all events so far, in order of first use.
    pub versions: Vec<u64>,
    /// Version of the software that generated them; `None` if the endpoint list names none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<String>,
}
