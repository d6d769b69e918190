//! The terms of one plain service in a contract.

use serde::{Deserialize, Serialize};

/// How one plain service is called.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceTerms {
    /// Class under which its calls are admitted.
    pub class: String,
    /// Whether a call may be repeated.
    pub idempotent: bool,
}
