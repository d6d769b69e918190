//! Which of the two trainer measures a contract weighs more.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// The measure that the policy favours when it can't have both.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
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
pub enum TrainerPreference {
    /// Trainers wait as little as possible.
    Idle,
    /// Samples are as fresh as possible.
    Staleness,
}
