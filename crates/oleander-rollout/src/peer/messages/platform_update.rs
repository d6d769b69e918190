//! What the leader sends of the platform's state to agents and entries.

use oleanderlock::routing::caller_rank::CallerRank;
use oleanderlock::routing::deployment_config::DeploymentConfig;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use serde::{Deserialize, Serialize};

/// Parts of the platform's state that an agent or entry lacks or has in an older version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlatformUpdate {
    /// The configuration in force; `None` if the receiver has this version.
    pub config: Option<DeploymentConfig>,
    /// Endpoints and the digest of all of them; `None` if the receiver has this digest. An agent
    /// gets its own engine and the endpoints of other services, an entry gets all.
    pub endpoints: Option<(Vec<EndpointEntry>, u64)>,
    /// Place of the receiver among the processes that call endpoints; `None` if the receiver knows
    /// it or the leader does not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_rank: Option<CallerRank>,
    /// When the sender last knew that its configuration is the newest of the store, in milliseconds
    /// after the arrival of the call; `None` if it doesn't know.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config_confirmed_ms: Option<i64>,
    /// When the sender last knew that its endpoints are those of the store, in milliseconds after the
    /// arrival of the call; `None` if it doesn't know.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoints_confirmed_ms: Option<i64>,
    /// Whether the leader has no memory for more jobs; `None` if the receiver knows it, or doesn't ask.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub jobs_full: Option<bool>,
}

impl PlatformUpdate {
    /// Whether the receiver is up to date.
    pub fn is_empty(&self) -> bool {
        self.config.is_none()
            && self.endpoints.is_none()
            && self.caller_rank.is_none()
            && self.jobs_full.is_none()
    }
}
