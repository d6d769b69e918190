//! Registered dispatchers that don't answer, as the leader knows them.
//!
//! A dispatcher that is cut off, frozen or slow to start doesn't answer either. It registers itself again
//! when it finds that its entry is gone, so that a wrong removal costs two calls to the store.

use crate::prelude::*;
use indexmap::IndexMap;

/// Time without an answer after which a dispatcher counts as gone. It is longer than a restart of its
/// machine and most partitions.
pub const GONE_AFTER: Millis = Millis::from_secs(20);
/// Fewest probes without an answer after which a dispatcher counts as gone.
pub const MISSES_MIN: u32 = 4;

/// Probes in a row that a dispatcher has not answered.
#[derive(Clone, Copy, Debug)]
struct Missed {
    since: Millis,
    probes: u32,
}

/// Registered dispatchers that have not answered their last probes.
///
/// Memory is bounded by the registered names.
#[derive(Clone, Debug, Default)]
pub struct Absences {
    missed: IndexMap<String, Missed>,
}

impl Absences {
    /// Records whether a dispatcher has answered a probe.
    pub fn record(&mut self, now: Millis, name: &str, answered: bool) {
        if answered {
            self.missed.swap_remove(name);
            return;
        }
        let first = Missed {
            since: now,
            probes: 0,
        };
        let missed = self.missed.entry(name.to_owned()).or_insert(first);
        missed.probes += 1;
    }

    /// Forgets the dispatchers that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.missed.retain(|name, _| is_registered(name));
    }

    /// Returns up to `most` dispatchers that are gone, the longest absent first.
    pub fn gone(&self, now: Millis, most: usize) -> Vec<String> {
        let is_gone =
            |missed: &Missed| now.since(missed.since) >= GONE_AFTER && missed.probes >= MISSES_MIN;
        let gone = self.missed.iter().filter(|(_, missed)| is_gone(missed));
        let mut gone: Vec<(&String, &Missed)> = gone.collect();
        gone.sort_by_key(|(_, missed)| missed.since);
        let gone = gone.into_iter().take(most);
        gone.map(|(name, _)| name.clone()).collect()
    }
}
