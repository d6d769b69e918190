//! A configuration object in the body of `GET /v1/fleet`.

use serde::{Deserialize, Serialize};

/// One configuration object in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigSummary {
    /// Name of the object.
    pub name: String,
    /// Generation in force.
    pub generation: u64,
}
