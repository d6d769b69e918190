//! Conditional writes to the platform's store whose answer may be lost.
//!
//! A writer adds a new random id to the object with each conditional write. The object keeps the
//! last [`WriteLog::CAPACITY`] ids, so that a writer that got no answer can find out from a later
//! read whether its write took effect.

use crate::guards::Guards;
use crate::prelude::*;
use crate::store_answer::NO_VERSION;
use crate::write_id::WriteId;
use crate::write_log::WriteLog;
use crate::write_outcome::WriteOutcome;

/// Wait before a writer reads the object again if the outcome is [`WriteOutcome::CannotTell`].
pub const READ_BACK_INTERVAL: Millis = Millis(200);

/// A write that was sent and not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoreWrite {
    /// Identity of the write.
    pub id: WriteId,
    /// Version to replace; [`NO_VERSION`] to create the object.
    pub base: u64,
}

impl StoreWrite {
    /// Determines the outcome of the write from the version and the log of the object as just read.
    ///
    /// Valid only for objects that are never deleted and whose writers all maintain the log. For an
    /// object that does not exist, pass [`NO_VERSION`] and an empty log.
    pub fn resolve(&self, version: u64, log: &WriteLog) -> WriteOutcome {
        self.resolve_with(version, log, Guards::ALL)
    }

    /// As [`Self::resolve`], with some guards disabled; for model checking only.
    pub fn resolve_with(&self, version: u64, log: &WriteLog, guards: Guards) -> WriteOutcome {
        let position = log.writes.iter().rposition(|write| write.id == self.id);
        match position {
            Some(index) if index + 1 == log.writes.len() => WriteOutcome::TookEffect,
            Some(_) => WriteOutcome::Overwritten,
            None if version <= self.base => WriteOutcome::CannotTell,
            None if !guards.log_reach || log.covers(self.base) => WriteOutcome::NeverTookEffect,
            None => WriteOutcome::CannotTell,
        }
    }

    /// Returns whether the write creates the object.
    pub const fn creates(&self) -> bool {
        self.base == NO_VERSION
    }
}
