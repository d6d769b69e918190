//! An object of the store.

use serde::{Deserialize, Serialize};

/// An object of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Full name, for example `config/contracts/kalahari`.
    pub name: String,
    /// Revision of the store at the last write of the object.
    pub version: u64,
    /// The value; `None` when a watch reports that the object was deleted.
    pub value: Option<String>,
}
