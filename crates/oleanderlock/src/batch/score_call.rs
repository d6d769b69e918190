//! The call that scores the text of an item.

use serde::{Deserialize, Serialize};

/// The call that scores the text of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoreCall {
    /// Id of the call, sent as the id of its request.
    pub id: String,
    /// Host that selects the route.
    pub host: String,
    /// Path of the call.
    pub path: String,
    /// Body, in base64.
    pub body_base64: String,
}
