//! The record of a duty in the platform's store.

use serde::{Deserialize, Serialize};

/// The record of a duty in the platform's store, changed only by conditional writes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord<S> {
    /// Node name of the holder.
    pub holder: String,
    /// Rises with each holder.
    pub fence: u64,
    /// What the holder has done and is about to do.
    #[serde(flatten)]
    pub state: S,
}
