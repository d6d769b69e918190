//! Result of amending a configuration object.

use crate::contracts::current_object::CurrentObject;
use crate::prelude::*;

/// Result of amending a configuration object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AmendOutcome {
    /// It was written, under this generation.
    Accepted(Generation),
    /// The object was changed in the meantime and nothing was written; this is the current object.
    Conflict(CurrentObject),
    /// The store refused the write; nothing was written.
    Refused,
    /// It is unknown whether the write took effect.
    Unknown,
}
