//! Pace of an engine: the time between two events of a run.
//!
//! Load pattern: the engines of a service differ in speed by a third for good, and some become
//! several times slower for seconds. A step starts on engines that have been idle since the last
//! one, and its longest runs must get the fastest of them. So the usual pace is remembered while
//! an engine is idle; a slow phase is not.

use crate::prelude::*;

/// Weight of the newest event in the moving average, as `1 / RECENT_EVENTS`.
const RECENT_EVENTS: u64 = 16;
/// Age of the last event after which the moving average is out of date.
const RECENT_AGE_MAX: Millis = Millis(4000);
/// Events after which the usual pace has followed a slower one by two thirds; it follows a faster one
/// at once.
const USUAL_EVENTS: u64 = 1024;

/// Pace of an engine, from the events of all its runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventPace {
    // Moving average in microseconds; 0 before the first event.
    recent_us: u64,
    // The pace when the engine is not slowed down, in microseconds; 0 before the first event.
    usual_us: u64,
    last_event_at: Millis,
}

impl EventPace {
    /// Records an event that came `interval` after the one before it in the same run.
    pub fn record(&mut self, now: Millis, interval: Millis) {
        let us = interval.0.saturating_mul(1000);
        let is_old = now.since(self.last_event_at) > RECENT_AGE_MAX;
        self.last_event_at = now;
        self.recent_us = if self.recent_us == 0 || is_old {
            us
        } else {
            (self.recent_us * (RECENT_EVENTS - 1) + us) / RECENT_EVENTS
        };
        self.usual_us = if self.usual_us == 0 || self.recent_us < self.usual_us {
            self.recent_us
        } else {
            self.usual_us + (self.recent_us - self.usual_us) / USUAL_EVENTS
        };
    }

    /// Returns the mean time between two events in microseconds: of the last events, or the usual
    /// one if there were none lately; 0 before the first event.
    pub fn interval_us(&self, now: Millis) -> u64 {
        if now.since(self.last_event_at) > RECENT_AGE_MAX {
            return self.usual_us;
        }
        self.recent_us
    }
}
