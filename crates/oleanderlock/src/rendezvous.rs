//! Rendezvous hashing: every process ranks the same names in the same order.

/// Returns the weight of `name` for `key`; the greatest weight wins.
pub fn weight(key: &str, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    // The length keeps `ab` + `c` apart from `a` + `bc`.
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(name.as_bytes());
    first_u64(hasher.finalize())
}

/// Returns the first eight bytes of a hash as a number.
pub(crate) fn first_u64(hash: blake3::Hash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns the `count` items with the greatest weights for `key`, greatest first; equal weights
/// are ordered by name.
pub fn top<'a, T>(
    key: &str,
    items: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
    count: usize,
) -> Vec<&'a T> {
    let mut ranked: Vec<(u64, &T)> = items.map(|item| (weight(key, name(item)), item)).collect();
    ranked.sort_by(|(a, left), (b, right)| b.cmp(a).then_with(|| name(left).cmp(name(right))));
    let best = ranked.into_iter().take(count);
    best.map(|(_, item)| item).collect()
}
