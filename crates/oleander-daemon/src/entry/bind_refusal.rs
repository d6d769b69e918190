//! Why an idempotency key was not bound.

use crate::prelude::*;

/// Why a key was not bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BindRefusal {
    /// The error for the caller.
    pub kind: ErrorKind,
    /// Whether an earlier call with the key may have run the request.
    pub ran: Ran,
}
