//! Writes to the platform's store whose answer may be lost.
//!
//! A writer puts a fresh id into the object with each conditional write. The object keeps the last
//! few ids, so that a writer that got no answer can read back what became of its write.

use crate::guards::Guards;
use crate::prelude::*;
use crate::store_answer::NO_VERSION;
use serde::{Deserialize, Serialize};

/// Names one write; drawn at random.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriteId(pub u64);

/// One write, as the object it changed remembers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoggedWrite {
    /// The write.
    pub id: WriteId,
    /// Version that the write replaced.
    pub base: u64,
}

/// The last few writes of one object, oldest first; part of the object's value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriteLog {
    writes: Vec<LoggedWrite>,
}

/// What became of a write, judged by a later read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// It took effect and the object is as it left it.
    TookEffect,
    /// It took effect, and later writes replaced it.
    Overwritten,
    /// It did not take effect and never will.
    NeverTookEffect,
    /// It may yet take effect, or the object no longer remembers.
    CannotTell,
}

/// A write that was sent and whose answer did not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StoreWrite {
    /// Its id.
    pub id: WriteId,
    /// Version that it was to replace; [`NO_VERSION`] if it was to create the object.
    pub base: u64,
}

impl WriteLog {
    /// Writes that an object remembers.
    pub const CAPACITY: usize = 16;

    /// Returns the log for the value that `write` writes; drops the oldest write when full.
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

    /// Whether the log holds every write since `version` stood.
    fn covers(&self, version: u64) -> bool {
        self.writes
            .first()
            .is_some_and(|write| write.base <= version)
    }
}

impl StoreWrite {
    /// Judges the write by the version and the log of the object as just read.
    ///
    /// Holds for objects that are never deleted and whose every writer keeps the log. An object
    /// that does not exist is read as [`NO_VERSION`] with an empty log.
    pub fn resolve(&self, version: u64, log: &WriteLog) -> WriteOutcome {
        self.resolve_with(version, log, Guards::ALL)
    }

    /// As [`Self::resolve`], with guards that may be off; for model checking.
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

    /// Whether the write is to create the object.
    pub const fn creates(&self) -> bool {
        self.base == NO_VERSION
    }
}

/// How long a writer waits before it reads back again when it can't tell.
pub const READ_BACK_INTERVAL: Millis = Millis(200);
