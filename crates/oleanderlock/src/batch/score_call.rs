//! The call that scores the text of an item.

use serde::{Deserialize, Serialize};

/// The call that scores the text of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoreCall {
    /// Id of the call; also its request id.
    pub id: String,
    /// Host that selects the route.
    pub host: String,
    /// Request path.
    pub path: String,
    /// Request body in base64.
    pub body_base64: String,
}

impl ScoreCall {
    /// Returns the size of its texts in bytes.
    pub fn size_bytes(&self) -> usize {
        self.id.len() + self.host.len() + self.path.len() + self.body_base64.len()
    }
}
