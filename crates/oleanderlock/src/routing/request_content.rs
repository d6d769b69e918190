//! Identity of what a request asks for.

use derive_more::Display;

/// Hash of method, host, path with query, and body of a request, as 32 hexadecimal digits.
///
/// A client that repeats a request uses a new id, but the content stays the same.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
pub struct RequestContent(String);

/// Hexadecimal digits of the hash that are used.
const DIGITS: usize = 32;

impl RequestContent {
    /// Returns the content of a request; `target` is path and query.
    pub fn new(method: &str, host: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [method.as_bytes(), host.as_bytes(), target.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut digits = hasher.finalize().to_hex().to_string();
        digits.truncate(DIGITS);
        Self(digits)
    }

    /// Returns the hexadecimal digits.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
