//! Limits on clients.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Limits on the size and duration of client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving a request head.
    pub header_time: Millis,
    /// Time after which an idle connection is closed.
    pub idle_time: Millis,
}
