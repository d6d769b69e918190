//! Limits on the connections of a server.

use crate::prelude::*;

/// Limits on the connections of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Longest head of a request, in bytes; the server accepts 8192 bytes in any case.
    pub head_bytes: usize,
    /// Time within which the head of the next request must be complete, else the connection is
    /// closed.
    pub idle: Millis,
    /// Whether the bytes that wait for a client are bounded: one that reads too slowly is left.
    pub bounded: bool,
}
