//! State of an instance in the platform's list.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum ListedState {
    /// In service.
    Live,
    /// About to be stopped by the platform.
    Leaving,
}
