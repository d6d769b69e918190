//! The record of what began a stream.

use oleanderlock::routing::stream_origin::StreamOrigin;
use serde::{Deserialize, Serialize};

/// What began a stream, sent by the entry that relays it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Id of the client's attempt.
    pub stream: String,
    /// What began it.
    pub origin: StreamOrigin,
}
