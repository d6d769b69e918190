//! An instance in the platform's list.

use crate::store::listed_state::ListedState;
use crate::store::role::Role;
use serde::{Deserialize, Serialize};

/// An instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: String,
    /// The daemon that it runs.
    pub role: Role,
    /// HTTP address, `IP:PORT`.
    pub http: String,
    /// Link address, `tcp://IP:PORT`.
    pub link: String,
    /// Failure domain.
    pub domain: String,
    /// Region; empty when the list names none.
    #[serde(default)]
    pub region: String,
    /// Its state according to the platform.
    pub state: ListedState,
}
