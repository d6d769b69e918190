//! A difference between two configurations.

use super::difference_kind::DifferenceKind;
use derive_more::Display;
use serde::Serialize;

/// A difference between two configurations, by what it means for callers.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{subject}: {kind}: {text}")]
pub struct Difference {
    /// What it means for callers.
    pub kind: DifferenceKind,
    /// Part of the configuration: its kind and name.
    pub subject: String,
    /// What changes, as text for operators; names no key.
    pub text: String,
}

impl Difference {
    /// Creates a difference of the part `subject`.
    pub(super) fn new(kind: DifferenceKind, subject: &str, text: impl Into<String>) -> Self {
        Self {
            kind,
            subject: subject.to_owned(),
            text: text.into(),
        }
    }
}
