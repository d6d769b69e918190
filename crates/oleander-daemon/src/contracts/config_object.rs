//! Configuration objects as the store keeps them.

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
/// Earlier texts that an object keeps.
const HISTORY_MAX: usize = 10;

/// The value of a configuration object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigObject {
    /// The text in force: a contract in INI, or a version number.
    pub text: String,
    /// The last writes, so that a writer whose answer was lost can find out.
    pub writes: WriteLog,
    /// Earlier texts, oldest first.
    pub history: Vec<PastText>,
}

/// An earlier text of a configuration object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastText {
    /// Generation under which it was in force.
    pub generation: u64,
    /// The text.
    pub text: String,
}

impl ConfigObject {
    /// Reads a stored value.
    pub fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Returns the object that replaces this one, of generation `generation`.
    #[must_use]
    pub fn amended(&self, generation: u64, text: String, write: StoreWrite) -> Self {
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

    /// Judges a write whose answer was lost.
    pub fn fate(&self, version: u64, write: &StoreWrite) -> WriteOutcome {
        write.resolve(version, &self.writes)
    }
}
