//! Fields of an error in a response.

use oleanderlock::prelude::*;
use serde::{Deserialize, Serialize};

/// Fields of an error in a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Name of the error kind.
    pub kind: String,
    /// Human-readable message.
    pub message: String,
    /// Whether the work ran: `no`, `yes` or `unknown`.
    pub ran: Ran,
    /// Time after which a retry makes sense, in milliseconds; absent when a retry is of no use.
    pub retry_after_ms: Option<u64>,
    /// Id of the request, as it appears in logs.
    pub request: Option<String>,
}
