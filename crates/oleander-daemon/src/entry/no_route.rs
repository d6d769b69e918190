//! Why a request gets no endpoint.

use crate::prelude::*;

/// Why there is no endpoint, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoute {
    /// The error for the caller.
    pub kind: ErrorKind,
    /// Time after which the caller may retry.
    pub retry_after: Millis,
}
