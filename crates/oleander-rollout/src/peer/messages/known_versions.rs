//! What an agent or entry has of the platform's state.

use oleanderlock::routing::caller_rank::CallerRank;
use serde::{Deserialize, Serialize};

/// Versions of the configuration and of the endpoints that an agent or entry has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Version of the configuration; 0 for none.
    pub config_version: u64,
    /// Digest of the endpoints; 0 for none.
    pub endpoints_digest: u64,
    /// Name of the node.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub node: String,
    /// Place among the processes that call endpoints; `None` if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_rank: Option<CallerRank>,
    /// What an entry knows of [`PlatformUpdate::jobs_full`](super::PlatformUpdate::jobs_full); `None` if
    /// it doesn't ask.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub jobs_full: Option<bool>,
}
