//! Decision when a reader is too slow to wait for.
//!
//! Load pattern: clients that read nothing, or a few bytes now and then, while their responses occupy
//! memory. Time in which bytes wait for the reader uses up a credit, and bytes that it takes renew
//! it. A stream whose engine is slow doesn't wait for its reader, so it uses up nothing.

use crate::prelude::*;

/// Time for which a reader may take nothing; clients that lose their network for a moment return
/// within it.
pub const CREDIT_MAX: Millis = Millis(5000);
/// Bytes that renew the credit by one millisecond: a reader of 16 KB/s keeps its response, which
/// holds 1 MB for a minute.
const BYTES_PER_MS: u64 = 16;

/// Pace of one reader.
#[derive(Clone, Copy, Debug)]
pub struct ReaderPace {
    credit: Millis,
    blocked_at: Option<Millis>,
}

impl Default for ReaderPace {
    fn default() -> Self {
        Self {
            credit: CREDIT_MAX,
            blocked_at: None,
        }
    }
}

impl ReaderPace {
    /// Records that bytes wait for the reader; returns the time until which it has to take some.
    pub fn block(&mut self, now: Millis) -> Millis {
        let since = *self.blocked_at.get_or_insert(now);
        since.plus(self.credit)
    }

    /// Records that the reader has taken bytes.
    pub fn take(&mut self, now: Millis, bytes: usize) {
        let waited = self.blocked_at.take().map(|since| now.since(since));
        let left = self.credit.since(waited.unwrap_or_default());
        let renewed = left.plus(Millis(bytes as u64 / BYTES_PER_MS));
        self.credit = renewed.min(CREDIT_MAX);
    }
}
