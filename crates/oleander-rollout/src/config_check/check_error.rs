//! Why a configuration could not be checked.

use derive_more::{Display, Error};

/// Why a configuration could not be checked.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{source_name}: {reason}")]
pub struct CheckError {
    /// File or object that can't be read.
    pub source_name: String,
    /// Cause, with its place if that is known.
    pub reason: String,
}

impl CheckError {
    /// Creates an error about a file or object.
    pub fn new(source_name: impl ToString, reason: impl ToString) -> Self {
        Self {
            source_name: source_name.to_string(),
            reason: reason.to_string(),
        }
    }
}
