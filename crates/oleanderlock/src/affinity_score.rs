//! Scores for rendezvous hashing (highest random weight, Thaler and Ravishankar 1998).

/// Returns a uniformly distributed score of a key and a node (the finalizer of MurmurHash3). The
/// node with the greatest score for a key is preferred.
pub const fn score(key: u64, node: u64) -> u64 {
    let mut hash = key ^ node.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Hashes bytes to 64 bits; the result is the same in every process.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let (word, _) = hash
        .as_bytes()
        .split_first_chunk()
        .expect("a hash has 32 bytes");
    u64::from_le_bytes(*word)
}
