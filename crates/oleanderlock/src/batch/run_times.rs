//! How long the runs of a model take for what trainers expect of them.

use crate::prelude::*;

/// Part of what is known that each run replaces: one in this.
const MEMORY_RUNS: f64 = 64.0;

/// Mean time and mean expected length of the last runs of a model.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    took_ms: f64,
    tokens: f64,
}

impl RunTimes {
    /// Takes a run that was expected to make `tokens`.
    pub fn note(&mut self, tokens: u64, took: Millis) {
        let keep = 1.0 - 1.0 / MEMORY_RUNS;
        self.took_ms = self.took_ms * keep + took.0 as f64;
        self.tokens = self.tokens * keep + tokens as f64;
    }

    /// Returns how long a run is expected to take; nothing before the first run is known.
    pub fn expected(&self, tokens: u64) -> Millis {
        if self.tokens <= 0.0 {
            return Millis::ZERO;
        }
        Millis((tokens as f64 * self.took_ms / self.tokens) as u64)
    }
}
