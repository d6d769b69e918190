//! The text of generated tokens, from which a judge can tell what is whole and who made it.

use std::fmt::Write;

const HASH_HEX_LEN: usize = 6;

/// Makes the tokens of one prompt.
#[derive(Clone, Debug)]
pub struct TokenText {
    prompt: blake3::Hasher,
}

/// What one token says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParsedToken<'a> {
    /// The first six hexadecimal digits of the hash.
    pub hash: &'a str,
    /// The weight version that made the token.
    pub version: u64,
}

impl TokenText {
    /// Prepares the tokens of `prompt`.
    pub fn new(prompt: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(prompt.as_bytes());
        hasher.update(&[0]);
        Self { prompt: hasher }
    }

    /// Appends token `index` as made by `version`.
    pub fn push(&self, buf: &mut String, index: u64, version: u64) {
        buf.push_str(&self.hash(index));
        let _ = write!(buf, "v{version} ");
    }

    /// Returns the hash part of token `index`.
    pub fn hash(&self, index: u64) -> String {
        let mut hasher = self.prompt.clone();
        hasher.update(index.to_string().as_bytes());
        let hash = hasher.finalize();
        let mut hex = String::with_capacity(HASH_HEX_LEN);
        for byte in &hash.as_bytes()[..HASH_HEX_LEN / 2] {
            let _ = write!(hex, "{byte:02x}");
        }
        hex
    }
}

/// Reads one token without its closing space.
pub fn parse(token: &str) -> Option<ParsedToken<'_>> {
    let (hash, version) = token.split_once('v')?;
    let version = version.parse().ok()?;
    (hash.len() == HASH_HEX_LEN).then_some(ParsedToken { hash, version })
}
