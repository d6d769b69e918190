//! The terms of one plain service in a contract.

use serde::{Deserialize, Serialize};

/// How calls of one plain service are admitted and retried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTerms {
    /// Name of the class whose share its calls use.
    pub class: String,
    /// Whether running a call more than once is allowed.
    pub idempotent: bool,
}
