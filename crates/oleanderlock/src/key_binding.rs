//! Bindings of idempotency keys that callers chose to agent incarnations.
//!
//! Bindings are kept in a fixed number of bucket objects of the platform's store. A binding never
//! changes; it is dropped once its expiry has passed by the wall clock and a margin for skew.

use crate::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};

/// Purpose string under which keys are hashed.
const KEY_CONTEXT: &str = "oleanderlock 2026 hash of a chosen idempotency key";
/// Difference of two processes' wall clocks that is tolerated.
const SKEW_MS: Millis = Millis(60_000);

/// Hash of customer, target and the key that the caller chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash(pub u128);

/// Where the request of one key runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyBinding {
    /// Name of the agent's instance.
    #[serde(rename = "a")]
    pub agent: String,
    /// The only incarnation that may run the request.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Horizon of the request's submissions, on that agent's clock.
    #[serde(rename = "h")]
    pub horizon: Millis,
    /// Hash of target and body.
    #[serde(rename = "f")]
    pub fingerprint: u64,
    /// End of the binding, in Unix time; no earlier than the horizon.
    #[serde(rename = "e")]
    pub expires: Millis,
}

/// The bindings of one bucket object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BindingTable {
    bindings: IndexMap<KeyHash, KeyBinding>,
}

impl KeyHash {
    /// Hashes a caller's key; keys of different customers or targets never meet.
    pub fn of(customer: &str, target: &str, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
        for part in [customer, target, key] {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
        let mut half = [0; 16];
        half.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(u128::from_be_bytes(half))
    }

    /// The identity of the only request that runs under the key.
    pub const fn request_id(self) -> RequestId {
        RequestId(self.0)
    }

    /// The bucket that holds the key.
    pub const fn bucket(self, buckets: u32) -> u32 {
        (self.0 % buckets as u128) as u32
    }
}

impl KeyBinding {
    fn is_kept(&self, wall: Millis) -> bool {
        wall < self.expires.plus(SKEW_MS)
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        format!("{:032x}", hash.0)
    }
}

impl TryFrom<String> for KeyHash {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}

impl BindingTable {
    /// Reads the value of a bucket object.
    ///
    /// # Errors
    ///
    /// The parser's error, when the value is not a table.
    pub fn parse(value: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(value)
    }

    /// Writes the value of a bucket object.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// The binding of a key at Unix time `wall`.
    pub fn get(&self, wall: Millis, key: KeyHash) -> Option<&KeyBinding> {
        self.bindings
            .get(&key)
            .filter(|binding| binding.is_kept(wall))
    }

    /// Adds a binding unless the key has one.
    pub fn insert(&mut self, key: KeyHash, binding: KeyBinding) {
        self.bindings.entry(key).or_insert(binding);
    }

    /// Drops bindings that expired more than the tolerated skew ago, by Unix time `wall`.
    pub fn prune(&mut self, wall: Millis) {
        self.bindings.retain(|_, binding| binding.is_kept(wall));
    }

    /// Number of bindings.
    pub fn len(&self) -> usize {
        self.bindings.len()
    }

    /// Whether there is no binding.
    pub fn is_empty(&self) -> bool {
        self.bindings.is_empty()
    }
}

impl Hash for BindingTable {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // The sum does not depend on the order, as equality does not.
        let sum = self
            .bindings
            .keys()
            .fold(0u128, |sum, key| sum.wrapping_add(key.0));
        self.bindings.len().hash(state);
        sum.hash(state);
    }
}
