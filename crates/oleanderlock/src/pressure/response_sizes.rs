//! Expected sizes of responses.

use indexmap::IndexMap;

/// Kinds of calls whose sizes are kept; the one that was added first is removed first.
const KINDS_MAX: usize = 1024;
/// The expected size goes down by this part of the difference with each smaller response.
const DECAY_DIVISOR: usize = 4;

/// Expected sizes of responses by kind of call, a hash that the caller chooses.
#[derive(Clone, Debug, Default)]
pub struct ResponseSizes {
    by_kind: IndexMap<u64, usize>,
}

impl ResponseSizes {
    /// Returns the size that a response is expected to have; `None` without an earlier response.
    pub fn expected(&self, kind: u64) -> Option<usize> {
        self.by_kind.get(&kind).copied()
    }

    /// Records the size of a response. A larger one counts at once, since too small an expectation
    /// lets a call run whose response finds no room.
    pub fn record(&mut self, kind: u64, bytes: usize) {
        if !self.by_kind.contains_key(&kind) && self.by_kind.len() >= KINDS_MAX {
            self.by_kind.shift_remove_index(0);
        }
        let expected = self.by_kind.entry(kind).or_insert(bytes);
        *expected = if bytes >= *expected {
            bytes
        } else {
            *expected - (*expected - bytes).div_ceil(DECAY_DIVISOR)
        };
    }
}
