//! When a standby dispatcher takes the place of the leader.
//!
//! Taking over is safe at any time: the conditional create of the next chunk of the result log
//! decides who lists results. So the rule only weighs a short pause against needless changes.

use crate::prelude::*;

/// Probes in a row without an answer after which a leader counts as gone.
const MISSES_MAX: u32 = 3;
/// Time for which a leader may be without the store before a standby tries to take over.
const WITHOUT_STORE_MAX: Millis = Millis(2000);

/// What a probe of the leader brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderProbe {
    /// No answer in time.
    NoAnswer,
    /// The process answers, but does not lead, or has another epoch.
    NotLeading,
    /// It leads; the store answered it this long ago.
    Leading {
        /// Age of the store's last answer to the leader.
        store_age: Millis,
    },
}

/// Watches the leader from a standby.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderWatch {
    misses: u32,
}

impl LeaderWatch {
    /// Starts anew, as after a change of the leader.
    pub fn reset(&mut self) {
        self.misses = 0;
    }

    /// Returns how many probes in a row brought no answer of a leader that can list results.
    pub fn misses(&self) -> u32 {
        self.misses
    }

    /// Takes a probe; returns whether to try to take over. A standby that has no store either
    /// fails at the conditional write.
    pub fn probed(&mut self, probe: LeaderProbe) -> bool {
        let missed = match probe {
            LeaderProbe::NoAnswer | LeaderProbe::NotLeading => true,
            LeaderProbe::Leading { store_age } => store_age > WITHOUT_STORE_MAX,
        };
        self.misses = if missed { self.misses + 1 } else { 0 };
        self.misses >= MISSES_MAX
    }
}
