//! Token rate of an attempt, for the endpoint choice.

use crate::prelude::*;

/// Minimum time between two progress reports to the control thread.
const REPORT_INTERVAL: Millis = Millis(500);

/// Tokens and time of an attempt since its last progress report.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time of the last report, or of the first chunk.
    pub since: Millis,
    /// Tokens that were reported, or came with the first chunk.
    reported: u64,
    /// All tokens of the attempt.
    tokens: u64,
}

impl Pace {
    /// Counts the tokens of a chunk, and calls `report` with elapsed time and tokens when a report is
    /// due. The tokens of the first chunk are left out, because the time they took is unknown.
    pub fn record(pace: &mut Option<Self>, tokens: u64, report: impl FnOnce(Millis, u64)) {
        let now = now();
        let pace = pace.get_or_insert(Self {
            since: now,
            reported: tokens,
            tokens: 0,
        });
        pace.tokens += tokens;
        let elapsed = now.since(pace.since);
        if elapsed >= REPORT_INTERVAL {
            report(elapsed, pace.unreported());
            pace.since = now;
            pace.reported = pace.tokens;
        }
    }

    /// Returns the number of tokens that were not reported yet.
    pub fn unreported(&self) -> u64 {
        self.tokens.saturating_sub(self.reported)
    }
}
