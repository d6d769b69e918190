//! Calls to the store on behalf of a lease.

use crate::lease_record::LeaseRecord;

/// A call to the store that a contender asks its owner to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseAction {
    /// Read the lease object.
    Read,
    /// Write the record if the object still has the version `base`; a `base` of 0 means that the
    /// object must not exist.
    Write {
        /// Version to replace.
        base: u64,
        /// The record to write.
        record: LeaseRecord,
    },
}
