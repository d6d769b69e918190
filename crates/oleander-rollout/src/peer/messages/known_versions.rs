//! What an agent or entry has of the platform's state.

use serde::{Deserialize, Serialize};

/// Versions of the configuration and of the endpoints that an agent or entry has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Version of the configuration; 0 for none.
    pub config_version: u64,
    /// Digest of the endpoints; 0 for none.
    pub endpoints_digest: u64,
}
