//! Role of an instance.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Role of an instance: the daemon that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// An entry daemon.
    Entry,
    /// An agent daemon, next to its endpoint.
    Agent,
}
