//! All errors of a settings file.

use crate::settings_error::SettingsError;
use derive_more::{Display, Error};

/// All errors of a settings file; printed one a line.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", lines(errors))]
pub struct SettingsErrors {
    /// Errors of single keys in the order in which they were read, then unknown and repeated keys.
    pub errors: Vec<SettingsError>,
}

fn lines(errors: &[SettingsError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
