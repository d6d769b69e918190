//! Whether a request was executed.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// Whether the work of a request ran, as far as is known.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The attempt, or all attempts of the request, did not run the work and never will.
    No,
    /// The work ran, or is running.
    Yes,
    /// It is not known whether the work ran; it may still run.
    Unknown,
}
