//! One error of a settings file.

use derive_more::{Display, Error};

/// One error of a settings file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{place}: {problem}")]
pub struct SettingsError {
    /// Section and key, for example `[agent] name`; the line or the path when the file can't be
    /// parsed or read.
    pub place: String,
    /// What is wrong, and the values that are valid.
    pub problem: String,
}
