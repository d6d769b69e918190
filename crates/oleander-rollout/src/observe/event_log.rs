//! Log lines of events, with a rate limit for each kind of event.

use crate::prelude::now;
use log::Level;
use oleanderlock::prelude::*;
use std::cell::RefCell;
use std::collections::HashMap;

/// Lines of one kind that a thread may log in a burst.
const BURST_LINES: u64 = 60;
/// Lines of one kind that a thread may log per second on average.
const LINES_PER_S: u64 = 30;

/// Token bucket that limits the lines of one kind.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Lines that may still be logged, in thousandths.
    milli_lines: u64,
    refilled_at: Millis,
    /// Lines that were left out since the last one that was logged.
    suppressed: u64,
}

thread_local! {
    static BUCKETS: RefCell<HashMap<&'static str, TokenBucket>> = RefCell::default();
}

/// Logs a line `event=KIND PAIRS`, or leaves it out when the rate limit of this kind is reached.
/// The next line of the kind has the number of those left out as `left_out`.
pub fn event(level: Level, kind: &'static str, pairs: impl FnOnce() -> String) {
    if level > log::max_level() {
        return;
    }
    match admit(kind) {
        None => {}
        Some(0) => log::log!(target: "oleander_rollout", level, "event={kind} {}", pairs()),
        Some(left_out) => log::log!(
            target: "oleander_rollout",
            level,
            "event={kind} left_out={left_out} {}",
            pairs()
        ),
    }
}

/// Returns how many lines were left out before this one, or `None` when this one is left out too.
fn admit(kind: &'static str) -> Option<u64> {
    let now = now();
    BUCKETS.with_borrow_mut(|buckets| {
        let bucket = buckets.entry(kind).or_insert(TokenBucket {
            milli_lines: BURST_LINES * 1000,
            refilled_at: now,
            suppressed: 0,
        });
        let gained = now.since(bucket.refilled_at).0.saturating_mul(LINES_PER_S);
        bucket.milli_lines = bucket
            .milli_lines
            .saturating_add(gained)
            .min(BURST_LINES * 1000);
        bucket.refilled_at = now;
        if bucket.milli_lines < 1000 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.milli_lines -= 1000;
        Some(std::mem::take(&mut bucket.suppressed))
    })
}
