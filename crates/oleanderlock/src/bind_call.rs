//! A request that needs its key bound, and what a binder does.

use crate::key_binding::{KeyBinding, KeyHash};
use crate::prelude::*;

/// Limits of a [`KeyBinder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct BinderLimits {
    /// Bucket objects; the same at all entries.
    pub buckets: u32,
    /// Requests that wait for a binding at most.
    pub max_waiting: usize,
    /// Bindings in one bucket at most; keeps the object under the store's limit of 1 MiB.
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

/// A request that needs its key bound.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BindCall {
    /// The entry's own number of the call, returned with the result.
    pub call: u64,
    /// The key.
    pub key: KeyHash,
    /// Binding to write if the key has none.
    pub proposal: KeyBinding,
    /// When to give up, on the entry's clock.
    pub deadline: Millis,
    /// The caller vouches that it has sent this key in no earlier call.
    pub first_call: bool,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum BindAction {
    /// Read the object of this bucket.
    Read(u32),
    /// Write the object of this bucket.
    Write {
        /// The bucket.
        bucket: u32,
        /// Version to replace, [`NO_VERSION`](crate::store_answer::NO_VERSION) for an object that must not exist. `None`, an
        /// unconditional write, only comes up with a guard off.
        base: Option<u64>,
        /// The value.
        value: String,
    },
    /// The key of this call is bound.
    Bound {
        /// Number of the call.
        call: u64,
        /// The binding in force, not always the one proposed.
        binding: KeyBinding,
    },
    /// The call is refused.
    Refuse {
        /// Number of the call.
        call: u64,
        /// Why.
        kind: ErrorKind,
        /// `No` if no call with this key can have run, else `Unknown`.
        ran: Ran,
    },
}
