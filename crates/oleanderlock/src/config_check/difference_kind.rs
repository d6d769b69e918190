//! What a difference between two configurations means for callers.

use serde::Serialize;
use strum::Display;

/// What a difference between two configurations means for callers, as it is printed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum DifferenceKind {
    /// Requests are answered that were not before.
    Opens,
    /// Requests are refused that were answered before.
    Closes,
    /// Requests go elsewhere.
    Moves,
    /// Requests get more time, attempts or room.
    Widens,
    /// Requests get less time, fewer attempts or less room.
    Narrows,
    /// Requests are treated in another way.
    Alters,
}
