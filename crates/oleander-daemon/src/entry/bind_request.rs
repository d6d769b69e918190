//! A request to bind an idempotency key.

use crate::prelude::*;
use oleanderlock::key_binding::{KeyBinding, KeyHash};

/// A key to bind.
#[derive(Clone, Debug)]
pub struct BindRequest {
    /// Hash of customer, service and key.
    pub key: KeyHash,
    /// Binding to write if the key has none.
    pub proposal: KeyBinding,
    /// When the caller is refused if the key is not bound yet.
    pub deadline: Millis,
    /// Whether the caller asserts that it has sent this key in no earlier call.
    pub first_call: bool,
}
