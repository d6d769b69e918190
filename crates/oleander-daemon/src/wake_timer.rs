//! A timer that is set again only when its time changes.

use crate::prelude::*;
use smol::Timer;
use std::time::Duration;

/// A timer for the next time at which a request has something to do.
///
/// Each word of an agent wakes the request; registering a new timer each time would wake the
/// reactor as well.
#[derive(Debug)]
pub struct WakeTimer {
    timer: Timer,
    at: Millis,
}

impl Default for WakeTimer {
    fn default() -> Self {
        Self {
            timer: Timer::never(),
            at: Millis::MAX,
        }
    }
}

impl WakeTimer {
    /// Waits until `at`.
    pub async fn wait_until(&mut self, at: Millis) {
        if self.at != at {
            self.at = at;
            let wait = at.since(now()).max(Millis(1));
            self.timer.set_after(Duration::from(wait));
        }
        (&mut self.timer).await;
        // A timer that has fired must be set again even for the same time.
        self.at = Millis::MAX;
    }
}
