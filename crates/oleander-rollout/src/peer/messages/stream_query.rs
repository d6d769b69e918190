//! The question what began a stream.

use serde::{Deserialize, Serialize};

/// The question what began a stream; the response is its origin, or `null` if it is not known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuery {
    /// Id of the client's attempt that brought the first event.
    pub stream: String,
}
