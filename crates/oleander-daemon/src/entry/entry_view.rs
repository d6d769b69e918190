//! Another entry in the body of `GET /v1/fleet`.

use serde::{Deserialize, Serialize};

/// Another entry as an entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EntryView {
    /// Name of the instance.
    pub name: String,
    /// Digest of the configuration in force there, if it has sent one.
    pub config_digest: Option<String>,
}
