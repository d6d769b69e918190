//! Calls to a key binder, and its actions.

use crate::key_binding::{KeyBinding, KeyHash};
use crate::prelude::*;

/// Limits of a [`KeyBinder`](crate::key_binder::KeyBinder).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BinderLimits {
    /// Number of bucket objects; must be the same at all entries.
    pub buckets: u32,
    /// Maximum number of calls that wait for a binding.
    pub max_waiting: usize,
    /// Maximum number of bindings in one bucket, which keeps the object below the store's limit of
    /// 1 MiB.
    pub max_bucket_len: usize,
}

impl Default for BinderLimits {
    fn default() -> Self {
        Self {
            buckets: 32,
            max_waiting: 4096,
            max_bucket_len: 4_000,
        }
    }
}

/// A call whose idempotency key must be bound.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BindCall {
    /// Number that the entry gave to the call, returned with the result.
    pub call: u64,
    /// Hash of the idempotency key.
    pub key: KeyHash,
    /// Binding to write if the key has none yet.
    pub proposal: KeyBinding,
    /// When the call is refused, on the entry's clock.
    pub deadline: Millis,
    /// The caller declares that it has sent this key in no earlier call.
    pub first_call: bool,
}

/// What the entry must do for the binder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum BindAction {
    /// Read the object of this bucket.
    Read(u32),
    /// Write the object of this bucket.
    Write {
        /// Index of the bucket.
        bucket: u32,
        /// Version to replace, or [`NO_VERSION`](crate::store_answer::NO_VERSION) for an object
        /// that must not exist. `None`, an unconditional write, occurs only with a guard switched
        /// off.
        base: Option<u64>,
        /// The new value of the object.
        value: String,
    },
    /// The key of this call is bound.
    Bound {
        /// Number of the call.
        call: u64,
        /// The stored binding, which may differ from the proposal.
        binding: KeyBinding,
    },
    /// The call is refused.
    Refuse {
        /// Number of the call.
        call: u64,
        /// The reason.
        kind: ErrorKind,
        /// `No` if no request with this key can have run, else `Unknown`.
        ran: Ran,
    },
}
