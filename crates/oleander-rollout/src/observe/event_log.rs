//! One log line for each event, with a bound on the lines of each kind.

use crate::prelude::now;
use log::Level;
use oleanderlock::prelude::*;
use std::cell::RefCell;
use std::collections::HashMap;

/// Lines of one kind that a thread writes in a row.
const BURST: u64 = 60;
/// Lines of one kind that a thread writes each second in the long run.
const LINES_PER_S: u64 = 30;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    // In thousandths of a line.
    left: u64,
    filled: Millis,
    suppressed: u64,
}

thread_local! {
    static BUCKETS: RefCell<HashMap<&'static str, Bucket>> = RefCell::default();
}

/// Writes a line `event=KIND PAIRS`, unless too many of this kind were written lately; how many
/// were left out stands in the next line of the kind.
pub fn event(level: Level, kind: &'static str, pairs: impl FnOnce() -> String) {
    if level > log::max_level() {
        return;
    }
    match take(kind) {
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

/// Returns how many lines were left out before this one, or `None` when this one is too.
fn take(kind: &'static str) -> Option<u64> {
    let now = now();
    BUCKETS.with_borrow_mut(|buckets| {
        let bucket = buckets.entry(kind).or_insert(Bucket {
            left: BURST * 1000,
            filled: now,
            suppressed: 0,
        });
        let gained = now.since(bucket.filled).0.saturating_mul(LINES_PER_S);
        bucket.left = bucket.left.saturating_add(gained).min(BURST * 1000);
        bucket.filled = now;
        if bucket.left < 1000 {
            bucket.suppressed += 1;
            return None;
        }
        bucket.left -= 1000;
        Some(std::mem::take(&mut bucket.suppressed))
    })
}
