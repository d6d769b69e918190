//! An agent in the body of `GET /v1/fleet`.

use serde::{Deserialize, Serialize};

/// An agent as an entry sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AgentView {
    /// Name of the instance.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Link address.
    pub link: String,
    /// Its state as this entry sees it: `unheard`, `ejected`, or the name of a state of the
    /// endpoint or of membership.
    pub state: String,
    /// Incarnation, if it has reported.
    pub incarnation: Option<String>,
    /// Weight version, if known.
    pub version: Option<u64>,
    /// Attempts of this entry in flight there.
    pub in_flight: u32,
    /// Digest of the configuration in force there; empty before its first report.
    pub config_digest: String,
}
