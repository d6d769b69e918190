//! Model and weight version of an engine.

use serde::Deserialize;

/// Model and weight version that an engine reports.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct EngineVersion {
    /// The model.
    pub model: String,
    /// The weight version; `None` while the engine does not know it.
    pub version: Option<u64>,
}
