//! Why an agent returned an item.

use serde::{Deserialize, Serialize};

/// Why an agent returned an item without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ReturnReason {
    /// The engine responded with an error to the run.
    EngineFailed,
    /// The engine is gone or draining, or the agent is stopping.
    EngineLost,
    /// The dispatcher recalled the item for another engine.
    Recalled,
    /// The weights of the engine are too old, or changed where a single version is required.
    TooOld,
    /// Scoring failed, but may succeed later.
    NoScore,
}
