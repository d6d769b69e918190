//! The trainer metric that a contract prefers.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// The trainer metric to optimize where idle time and staleness conflict.
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
    /// Minimize the time that trainers wait for samples.
    Idle,
    /// Minimize how many weight versions samples are behind the trainer.
    Staleness,
}
