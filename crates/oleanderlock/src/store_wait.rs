//! The wait before a call to the store.

use crate::prelude::*;

/// How long a call has to wait, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreWait {
    /// Time until the call may be made.
    pub wait: Millis,
    /// Whether it waits because an earlier call failed; otherwise the rate is used up.
    pub backoff: bool,
}
