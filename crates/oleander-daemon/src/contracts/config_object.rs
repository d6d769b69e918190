//! Configuration objects as they are stored.

use crate::contracts::past_text::PastText;
use oleanderlock::store_write::StoreWrite;
use oleanderlock::write_log::WriteLog;
use oleanderlock::write_outcome::WriteOutcome;
use serde::{Deserialize, Serialize};

/// Prefix of the names of all configuration objects.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of the names of contract objects.
pub const CONTRACT_PREFIX: &str = "config/contracts/";
/// Prefix of the names of published weight versions.
pub const VERSION_PREFIX: &str = "config/versions/";
/// Number of earlier texts that an object keeps.
const HISTORY_MAX: usize = 10;

/// The value of a configuration object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigObject {
    /// The text in force: a contract in INI, or a version number.
    pub text: String,
    /// The last writes, by which a writer that got no response finds out whether its write took
    /// effect.
    pub writes: WriteLog,
    /// Earlier texts, oldest first; at most [`HISTORY_MAX`].
    pub history: Vec<PastText>,
}

impl ConfigObject {
    /// Parses a stored value; `None` when it is invalid.
    pub fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Returns the object that replaces this one, which has the generation `generation` (0 when it
    /// does not exist yet).
    #[must_use]
    pub fn with_text(&self, generation: u64, text: String, write: StoreWrite) -> Self {
        let mut history = self.history.clone();
        if generation > 0 {
            history.push(PastText {
                generation,
                text: self.text.clone(),
            });
        }
        let excess = history.len().saturating_sub(HISTORY_MAX);
        history.drain(..excess);
        Self {
            text,
            writes: self.writes.with(write),
            history,
        }
    }

    /// Returns the outcome of a write that got no response; `version` is the version of this object.
    pub fn write_outcome(&self, version: u64, write: &StoreWrite) -> WriteOutcome {
        write.resolve(version, &self.writes)
    }
}
