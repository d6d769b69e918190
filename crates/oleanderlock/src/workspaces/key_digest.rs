//! Digest of an API key.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::LazyLock;

/// Domain of the digest, so that it is of no use to another program that hashes the same keys.
const CONTEXT: &str = "oleanderlock 2026-12-04 digest of an API key";

/// Key of the hash, derived once because each derivation costs as much as a digest.
static HASH_KEY: LazyLock<[u8; blake3::KEY_LEN]> =
    LazyLock::new(|| blake3::derive_key(CONTEXT, &[]));

/// Digest of an API key; the key itself is held nowhere.
///
/// Its debug format doesn't show it, so that log lines can't contain it.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::keyed_hash(&HASH_KEY, key).as_bytes())
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl PartialEq for KeyDigest {
    /// Compares in constant time.
    fn eq(&self, other: &Self) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(other.0)
    }
}

impl Eq for KeyDigest {}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let hex = blake3::Hash::from_bytes(self.0).to_hex();
        serializer.serialize_str(&hex)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let hex = String::deserialize(deserializer)?;
        let hash = blake3::Hash::from_hex(hex).map_err(D::Error::custom)?;
        Ok(Self(*hash.as_bytes()))
    }
}
