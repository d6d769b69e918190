//! Decision which items an engine's token memory has room for.
//!
//! Load pattern: an engine that runs out of token memory crashes, and takes all of its runs along.
//! Items differ in length by a factor of a hundred. Short ones may start beside what runs while a
//! long one waits, but only for a time, since the long one would wait forever otherwise.

use crate::prelude::*;

/// Time for which shorter items may start before a longer one that waits for room.
pub const PASS_TIME_MAX: Millis = Millis(2000);
/// Part that an output may be longer than its hint, in percent of the hint; an output that is longer
/// still is covered by the next report of the engine.
const HINT_MARGIN_PERCENT: u64 = 25;

/// Room in the token memory of one engine, for one pass over its waiting items.
#[derive(Clone, Copy, Debug)]
pub struct TokenRoom {
    total: u64,
    used: u64,
    // Whether an item has waited for so long that no other one may start before it.
    reserved: bool,
}

impl TokenRoom {
    /// Returns the room of an engine with memory for `total` tokens, of which what runs uses or will
    /// use `used`.
    pub fn new(total: u64, used: u64) -> Self {
        Self {
            total,
            used,
            reserved: false,
        }
    }

    /// Whether an item that needs `need` tokens would not even fit into the empty engine.
    pub fn never_fits(&self, need: u64) -> bool {
        need > self.total
    }

    /// Returns whether an item that needs `need` tokens may start now, and counts it as running if
    /// so. Items are asked for in the order in which they should start.
    ///
    /// `passed_since` is kept with the item: the time at which it first found no room. An item that
    /// needs more than the engine has never starts and holds up no other one.
    pub fn start(&mut self, now: Millis, need: u64, passed_since: &mut Option<Millis>) -> bool {
        if self.never_fits(need) || self.reserved {
            return false;
        }
        if self.used.saturating_add(need) > self.total {
            let since = *passed_since.get_or_insert(now);
            self.reserved = now.since(since) >= PASS_TIME_MAX;
            return false;
        }
        self.used += need;
        *passed_since = None;
        true
    }
}

/// Returns the tokens that an item needs: its prompt and the expected length of its output. Without a
/// hint, or if the length of the prompt is not known, all that it may use.
pub fn tokens_needed(tokens: u64, prompt: Option<u64>, expected_output: Option<u64>) -> u64 {
    let (Some(prompt), Some(expected)) = (prompt, expected_output) else {
        return tokens;
    };
    let margin = expected.saturating_mul(HINT_MARGIN_PERCENT) / 100;
    let output = expected.saturating_add(margin);
    prompt.saturating_add(output).min(tokens)
}
