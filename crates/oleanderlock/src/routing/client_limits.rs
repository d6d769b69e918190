//! Limits on clients.

use crate::prelude::*;
use serde::{Deserialize, Serialize};

/// Bounds on what a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Greatest request head, in bytes.
    pub header_bytes: usize,
    /// Greatest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a request head.
    pub header_time: Millis,
    /// Longest time that a connection may stay idle.
    pub idle_time: Millis,
}
