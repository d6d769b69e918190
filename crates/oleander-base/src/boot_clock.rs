//! Time since the machine booted, including time spent suspended (`CLOCK_BOOTTIME`).

use oleanderlock::prelude::*;
use rustix::time::{ClockId, clock_gettime};

const NS_PER_MS: u64 = 1_000_000;

/// Returns the time since the machine booted, including time spent suspended.
///
/// All processes of a machine read the same clock.
pub fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let ns = u64::try_from(time.tv_nsec).unwrap_or_default();
    Millis(seconds * 1000 + ns / NS_PER_MS)
}
