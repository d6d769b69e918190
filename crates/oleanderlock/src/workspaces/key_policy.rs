//! Whether a key is accepted while the configuration may be out of date.

use super::key_decision::KeyDecision;
use crate::prelude::*;

/// Whether a key is accepted, by the time since the configuration was last known to be the newest.
///
/// A 401 says that a retry is of no use, so for a valid key it is worse for the caller than a 503,
/// which the caller retries at another entry. A key that is not in the configuration in force is
/// therefore refused with 503 as soon as it may have been added without this process knowing of it.
///
/// For a key that is in the configuration the choice is between serving a key that may have been
/// removed and refusing all callers while the store can't be asked. It depends on the deployment
/// which is worse: with `strict`, such requests are refused after a time, and without it, they are
/// served, because keys are rarely removed and an outage of the store would be one for all callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyPolicy {
    /// Whether known keys are refused while the configuration is not confirmed.
    pub strict: bool,
    /// Time without confirmation after which known keys are refused, if `strict`.
    pub confirm_within: Millis,
    /// Time within which a change of the configuration is in force; without confirmation for longer,
    /// a key may have been added.
    pub config_within: Millis,
}

impl KeyPolicy {
    /// Decides about a request with a key that a workspace of the configuration in force holds if
    /// `is_known`, `age` after the configuration was last known to be the newest.
    pub fn decide(&self, is_known: bool, age: Millis) -> KeyDecision {
        if self.strict && age > self.confirm_within {
            return KeyDecision::Unconfirmed;
        }
        match is_known {
            true => KeyDecision::Serve,
            false if age > self.config_within => KeyDecision::Unconfirmed,
            false => KeyDecision::Unauthorized,
        }
    }
}
