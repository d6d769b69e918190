//! An earlier text of a configuration object.

use serde::{Deserialize, Serialize};

/// An earlier text of a configuration object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastText {
    /// Generation under which it was in force.
    pub generation: u64,
    /// The text.
    pub text: String,
}
