//! Something wrong with a configuration.

use super::finding_kind::FindingKind;
use derive_more::Display;
use serde::Serialize;

/// Something wrong with a configuration.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{place}: {kind}: {text}")]
pub struct Finding {
    /// What kind of thing is wrong.
    pub kind: FindingKind,
    /// Place in the file: part of the configuration and field.
    pub place: String,
    /// What is wrong, as text for operators; names no key.
    pub text: String,
}
