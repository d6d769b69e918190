//! Whether a caller or a trainer waits for a piece of work.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// Kind of work, by who waits for the result.
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
pub enum WorkKind {
    /// A caller waits for the answer.
    Interactive,
    /// A trainer waits for the sample as part of a step.
    Samples,
}
