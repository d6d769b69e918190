//! Names that were heard of lately.

use crate::prelude::*;
use indexmap::IndexMap;

/// Most names that are kept; further ones are left out.
const NAMES_MAX: usize = 8192;

/// Names with the time at which each was last recorded, for a limited time.
///
/// Memory is bounded by [`NAMES_MAX`] names.
#[derive(Clone, Debug)]
pub(crate) struct RecentNames {
    keep: Millis,
    recorded_at: IndexMap<String, Millis>,
}

impl RecentNames {
    /// Returns an empty list whose names are kept for `keep` after they were last recorded.
    pub(crate) fn new(keep: Millis) -> Self {
        Self {
            keep,
            recorded_at: IndexMap::new(),
        }
    }

    /// Records a name, and removes those whose time is over; returns whether the names have changed.
    pub(crate) fn record(&mut self, now: Millis, name: &str) -> bool {
        let keep = self.keep;
        let before = self.recorded_at.len();
        self.recorded_at.retain(|_, at| now.since(*at) <= keep);
        let removed = self.recorded_at.len() < before;
        if let Some(at) = self.recorded_at.get_mut(name) {
            *at = now;
            return removed;
        }
        if self.recorded_at.len() < NAMES_MAX {
            self.recorded_at.insert(name.to_owned(), now);
            return true;
        }
        removed
    }

    /// Returns the number of names recorded within `age`, which is at most the time for which names are
    /// kept.
    pub(crate) fn count_within(&self, now: Millis, age: Millis) -> usize {
        let recorded_at = self.recorded_at.values();
        recorded_at.filter(|at| now.since(**at) <= age).count()
    }

    /// Whether a name is kept.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.recorded_at.contains_key(name)
    }

    /// Returns the names that are kept.
    pub(crate) fn names(&self) -> impl ExactSizeIterator<Item = &str> {
        self.recorded_at.keys().map(String::as_str)
    }
}
