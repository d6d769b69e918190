//! Bound on concurrent calls, learned from refusals and slow responses.
//!
//! Load pattern: the runs of a step end at about the same time, so many texts are to be scored at
//! once, by a service that also serves clients. Calls that fill its queue, or that it refuses as full
//! and that are sent again and again, keep those of clients out.

use crate::prelude::*;

/// Bound before the first response.
const START: f64 = 8.0;
/// Lowest bound.
const MIN: f64 = 1.0;
/// Highest bound.
const MAX: f64 = 64.0;
/// Time within which refusals lower the bound only once, as they have one cause.
const LOWER_INTERVAL: Millis = Millis(100);

/// Bound on concurrent calls: raised by one for each round of responses, halved by a refusal or
/// a slow response.
#[derive(Clone, Debug)]
pub struct CallWindow {
    bound: f64,
    running: usize,
    lowered_at: Option<Millis>,
}

impl Default for CallWindow {
    fn default() -> Self {
        Self {
            bound: START,
            running: 0,
            lowered_at: None,
        }
    }
}

impl CallWindow {
    /// Starts a call; returns false if as many are running as the bound allows.
    pub fn start(&mut self) -> bool {
        let starts = self.running < self.bound as usize;
        self.running += usize::from(starts);
        starts
    }

    /// Ends a call.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records a response that took `took`; one that took more than half of the latency objective
    /// shows a queue and counts as a refusal.
    pub fn record_response(&mut self, now: Millis, took: Millis, objective: Millis) {
        if took.0 > objective.0 / 2 {
            self.record_refusal(now);
            return;
        }
        self.bound = (self.bound + 1.0 / self.bound).min(MAX);
    }

    /// Records that a call was refused or not answered.
    pub fn record_refusal(&mut self, now: Millis) {
        let recent = |at: Millis| now.since(at) < LOWER_INTERVAL;
        if self.lowered_at.is_some_and(recent) {
            return;
        }
        self.lowered_at = Some(now);
        self.bound = (self.bound / 2.0).max(MIN);
    }
}
