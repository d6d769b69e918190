//! Answers of the store to a lease.

use crate::lease_record::LeaseRecord;

/// The store's answer to a [`LeaseAction`](crate::lease_action::LeaseAction).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseAnswer {
    /// The object was read.
    Read {
        /// Version of its last write; 0 if it does not exist.
        version: u64,
        /// Its record; `None` if it does not exist.
        record: Option<LeaseRecord>,
    },
    /// The write took effect and created this version.
    Written(u64),
    /// The object did not have the expected version; nothing was written.
    Conflict,
    /// The store is down, or its answer was lost; a write may have taken effect.
    Unavailable,
}
