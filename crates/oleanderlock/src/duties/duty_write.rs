//! A conditional write of the record of a duty.

use super::duty_record::DutyRecord;

/// A conditional write of the record of a duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyWrite<S> {
    /// Revision that the write replaces; `None` if no record exists.
    pub revision: Option<u64>,
    /// The record to write.
    pub record: DutyRecord<S>,
}
