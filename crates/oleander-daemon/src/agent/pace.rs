//! The pace of an attempt, for the endpoint choice.

use crate::prelude::*;

/// Shortest time between two words of progress to the control thread.
const PROGRESS_EVERY: Millis = Millis(500);

/// What is known of the pace of an attempt since the control thread was told last.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Since when the tokens count.
    pub since: Millis,
    /// Tokens of the attempt that the control thread knows of, or that came with its first word.
    told: u64,
    tokens: u64,
}

impl Pace {
    /// Counts the tokens of a chunk and tells of them from time to time. The tokens of the first
    /// chunk count for nothing, since the time that they took is not known.
    pub fn note(pace: &mut Option<Self>, tokens: u64, tell: impl FnOnce(Millis, u64)) {
        let now = now();
        let pace = pace.get_or_insert(Self {
            since: now,
            told: tokens,
            tokens: 0,
        });
        pace.tokens += tokens;
        let elapsed = now.since(pace.since);
        if elapsed >= PROGRESS_EVERY {
            tell(elapsed, pace.untold());
            pace.since = now;
            pace.told = pace.tokens;
        }
    }

    /// Returns the tokens that the control thread was not told of.
    pub fn untold(&self) -> u64 {
        self.tokens.saturating_sub(self.told)
    }
}
