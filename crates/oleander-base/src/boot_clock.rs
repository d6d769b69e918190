//! The clock of the machine since it booted, which counts the time that the machine was suspended.

use oleanderlock::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Nanoseconds of a millisecond.
const NS_PER_MS: u64 = 1_000_000;

/// Returns the time since the machine booted, suspensions included.
pub fn now() -> Millis {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let ns = u64::try_from(time.tv_nsec).unwrap_or_default();
    Millis(seconds * 1000 + ns / NS_PER_MS)
}
