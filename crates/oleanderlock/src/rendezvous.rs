//! Rendezvous hashing, by which all processes rank the same names in the same order.

use crate::affinity_score::{hash_bytes, score};

/// Returns the `count` items with the greatest scores for `key`, greatest first; equal scores are
/// ordered by name.
pub fn top<'a, T>(
    key: &str,
    items: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
    count: usize,
) -> Vec<&'a T> {
    let key = hash_bytes(key.as_bytes());
    let weight = |item: &T| score(key, hash_bytes(name(item).as_bytes()));
    let mut ranked: Vec<(u64, &T)> = items.map(|item| (weight(item), item)).collect();
    ranked.sort_by(|(a, left), (b, right)| b.cmp(a).then_with(|| name(left).cmp(name(right))));
    let best = ranked.into_iter().take(count);
    best.map(|(_, item)| item).collect()
}
