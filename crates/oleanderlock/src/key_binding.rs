//! Bindings of idempotency keys that callers chose to agent incarnations.
//!
//! Bindings are kept in a fixed number of bucket objects in the platform's store. A binding never
//! changes. It is dropped when its expiry plus a margin for clock skew has passed.

use crate::prelude::*;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};

/// BLAKE3 context for hashing keys.
const KEY_CONTEXT: &str = "oleanderlock 2026 hash of a chosen idempotency key";
/// Tolerated difference between the wall clocks of two processes.
const MAX_CLOCK_SKEW: Millis = Millis(60_000);

/// Hash of customer, target and the key that the caller chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash(pub u128);

/// The agent incarnation that runs the request of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyBinding {
    /// Instance name of the agent.
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
    /// Expiry of the binding, in Unix time; not before the horizon.
    #[serde(rename = "e")]
    pub expires: Millis,
}

/// The bindings of one bucket object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BindingTable {
    bindings: IndexMap<KeyHash, KeyBinding>,
}

impl KeyHash {
    /// Hashes a key that the caller chose. Customer and target are part of the hash, so that equal
    /// keys of different customers or targets are distinct.
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

    /// Returns the identity of the only request that runs under the key.
    pub const fn request_id(self) -> RequestId {
        RequestId(self.0)
    }

    /// Returns the index of the bucket that holds the key, less than `buckets`.
    pub const fn bucket(self, buckets: u32) -> u32 {
        (self.0 % buckets as u128) as u32
    }
}

impl KeyBinding {
    fn is_kept(&self, wall: Millis) -> bool {
        wall < self.expires.plus(MAX_CLOCK_SKEW)
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
    /// Parses the value of a bucket object.
    ///
    /// # Errors
    ///
    /// The parser's error, if the value is not a table of bindings.
    pub fn parse(value: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(value)
    }

    /// Serializes the table as the value of a bucket object.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the binding of a key that has not expired at Unix time `wall`.
    pub fn get(&self, wall: Millis, key: KeyHash) -> Option<&KeyBinding> {
        self.bindings
            .get(&key)
            .filter(|binding| binding.is_kept(wall))
    }

    /// Adds a binding unless the key has one.
    pub fn insert(&mut self, key: KeyHash, binding: KeyBinding) {
        self.bindings.entry(key).or_insert(binding);
    }

    /// Drops the bindings that have expired at Unix time `wall`.
    pub fn prune(&mut self, wall: Millis) {
        self.bindings.retain(|_, binding| binding.is_kept(wall));
    }

    /// Returns the number of bindings, including expired ones.
    pub fn len(&self) -> usize {
        self.bindings.len()
    }

    /// Returns whether there are no bindings.
    pub fn is_empty(&self) -> bool {
        self.bindings.is_empty()
    }
}

impl Hash for BindingTable {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Equality ignores the order of an IndexMap, so the hash must too.
        let sum = self
            .bindings
            .keys()
            .fold(0u128, |sum, key| sum.wrapping_add(key.0));
        self.bindings.len().hash(state);
        sum.hash(state);
    }
}
