//! Objects of the store at one revision.

use crate::store::stored_object::StoredObject;
use serde::Deserialize;

/// Response to a list or a watch of the objects under a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ObjectList {
    /// Revision of the store at the time of the response.
    pub revision: u64,
    /// All objects of a list, or the changes of a watch, oldest first.
    #[serde(alias = "events")]
    pub objects: Vec<StoredObject>,
}
