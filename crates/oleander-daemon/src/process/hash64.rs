//! 64-bit hashes that are the same in every process and build.

/// Returns the first 8 bytes of the BLAKE3 hash of `bytes` as a big-endian number.
pub fn hash64(bytes: &[u8]) -> u64 {
    first_word(&blake3::hash(bytes))
}

/// Returns the first 8 bytes of a hash as a big-endian number.
pub fn first_word(hash: &blake3::Hash) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(word)
}
