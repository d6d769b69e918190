//! Order in which standbys try to lead when nobody does.
//!
//! Load pattern: a leader hands over, and the names of a hundred replaced dispatchers are registered
//! before those that are there. Standbys that wait for each other in the order of all names leave the
//! leadership vacant for many seconds. Those that try at the same time call the store for nothing, as the
//! first write wins.

use crate::affinity_score::hash_bytes;
use crate::prelude::*;

/// Delay between one standby and the next.
const RANK_DELAY: Millis = Millis(120);
/// Names that have a rank of their own.
const FIRST_RANKS: u64 = 4;
/// Ranks by which all further names are spread.
const SPREAD_RANKS: u64 = 4;
/// Longest delay of a standby.
pub const DELAY_MAX: Millis = Millis(RANK_DELAY.0 * (FIRST_RANKS + SPREAD_RANKS - 1));

/// Returns how long the standby `node` waits before it tries to lead, at most [`DELAY_MAX`]; `names` are the
/// registered dispatchers, in any order.
pub fn candidacy_delay<'a>(node: &str, names: impl Iterator<Item = &'a str>) -> Millis {
    let before = names.filter(|name| *name < node).count() as u64;
    let rank = if before < FIRST_RANKS {
        before
    } else {
        FIRST_RANKS + hash_bytes(node.as_bytes()) % SPREAD_RANKS
    };
    Millis(RANK_DELAY.0 * rank)
}
