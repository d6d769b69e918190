//! The log of the latest writes of an object.

use crate::logged_write::LoggedWrite;
use crate::store_write::StoreWrite;
use serde::{Deserialize, Serialize};

/// The last few writes of one object, oldest first; part of the object's value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WriteLog {
    pub(crate) writes: Vec<LoggedWrite>,
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
    pub(crate) fn covers(&self, version: u64) -> bool {
        self.writes
            .first()
            .is_some_and(|write| write.base <= version)
    }
}
