//! Who sends calls.

use super::caller_role::CallerRole;

/// The process that sends calls.
#[derive(Clone, Debug)]
pub struct CallerIdentity {
    /// Role of the process.
    pub role: CallerRole,
    /// Name of the node.
    pub node: String,
    /// Failure domain of the node; its endpoints are preferred.
    pub domain: String,
}
