//! Conditional writes to the platform's store whose answer may be lost.
//!
//! A writer adds a new random id to the object with each conditional write. The object keeps the
//! last [`WriteLog::CAPACITY`] ids, so that a writer that got no answer can find out from a later
//! read whether its write took effect.

use crate::guards::Guards;
use crate::prelude::*;
use crate::store_answer::NO_VERSION;
use serde::{Deserialize, Serialize};

/// Identifies a write; drawn at random.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriteId(pub u64);

/// A write in the log of the object that it changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoggedWrite {
    /// Identity of the write.
    pub id: WriteId,
    /// Version that the write replaced.
    pub base: u64,
}

/// The last few writes of one object, oldest first; part of the object's value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriteLog {
    writes: Vec<LoggedWrite>,
}

/// The outcome of a write, determined from a later read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// It took effect and is the latest write of the object.
    TookEffect,
    /// It took effect, and later writes changed the object again.
    Overwritten,
    /// It did not take effect and never will: another write replaced the version it depends on.
    NeverTookEffect,
    /// It may still take effect, or the log no longer reaches back to it.
    CannotTell,
}

/// A write that was sent and not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoreWrite {
    /// Identity of the write.
    pub id: WriteId,
    /// Version to replace; [`NO_VERSION`] to create the object.
    pub base: u64,
}

impl WriteLog {
    /// Most writes in a log.
    pub const CAPACITY: usize = 16;

    /// Returns the log with `write` added; a full log drops its oldest write.
    #[must_use]
    pub fn with(&self, write: StoreWrite) -> Self {
        let mut writes = self.writes.clone();
        if writes.len() == Self::CAPACITY {
            writes.remove(0);
        }
        writes.push(LoggedWrite {
            id: write.id,
            base: write.base,
        });
        Self { writes }
    }

    /// Returns whether the log contains every write after `version`.
    fn covers(&self, version: u64) -> bool {
        self.writes
            .first()
            .is_some_and(|write| write.base <= version)
    }
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

/// Wait before a writer reads the object again if the outcome is [`WriteOutcome::CannotTell`].
pub const READ_BACK_INTERVAL: Millis = Millis(200);
