//! A weight load that was granted to an agent.

use crate::prelude::*;

/// A granted load that no report has shown yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantedLoad {
    /// Model to load.
    pub model: String,
    /// Time until which it counts as running without a report of it.
    pub until: Millis,
}
