//! Health of one endpoint against its peers.

use crate::prelude::*;

/// Weight of a new observation of the pace.
const GAIN: f64 = 0.2;
/// Observations before the pace counts.
const MIN_OBSERVATIONS: u32 = 5;
/// Failures in a row that eject.
const MAX_FAILURES: u32 = 3;
/// Length of the first ejection; each further one is longer by as much.
const EJECT_MS: u64 = 5_000;
/// Longest ejection.
const MAX_EJECT_MS: u64 = 60_000;
/// Time over which an endpoint returns to its full part of the traffic.
const RETURN_MS: u64 = 10_000;
/// Part of the traffic at the start of the return, in percent.
const RETURN_PERCENT: u64 = 10;
/// Health without trouble after which earlier ejections are forgotten.
const FORGET_MS: u64 = 120_000;

/// Tracks pace, failures and progress of one endpoint, and its ejections.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointHealth {
    us_per_token: f64,
    observations: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
    waiting_since: Option<Millis>,
    last_progress: Option<Millis>,
}

impl EndpointHealth {
    /// Takes in that `units` tokens (1 for a plain call) took `elapsed`.
    pub fn record_pace(&mut self, now: Millis, elapsed: Millis, units: u64) {
        let pace = elapsed.0 as f64 * 1000.0 / units.max(1) as f64;
        self.observations = self.observations.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.observations));
        self.us_per_token += gain * (pace - self.us_per_token);
        self.record_progress(now);
    }

    /// Takes in that the endpoint gave a sign of work.
    pub fn record_progress(&mut self, now: Millis) {
        self.waiting_since = Some(now);
        self.last_progress = Some(now);
        self.failures = 0;
    }

    /// Takes in a start; `is_first` when nothing else is in flight.
    pub fn record_start(&mut self, now: Millis, is_first: bool) {
        if is_first || self.waiting_since.is_none() {
            self.waiting_since = Some(now);
        }
    }

    /// Takes in that the endpoint failed a request.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns microseconds for each token, once known.
    pub fn us_per_token(&self) -> Option<f64> {
        (self.observations >= MIN_OBSERVATIONS).then_some(self.us_per_token)
    }

    /// Returns whether the last few requests all failed.
    pub fn is_failing(&self) -> bool {
        self.failures >= MAX_FAILURES
    }

    /// Returns the time without a sign of work.
    pub fn silence(&self, now: Millis) -> Millis {
        self.waiting_since
            .map_or(Millis::ZERO, |since| now.since(since))
    }

    /// Returns whether the last sign of work is not older than `limit`.
    pub fn is_live(&self, now: Millis, limit: Millis) -> bool {
        self.last_progress.is_some_and(|at| now.since(at) <= limit)
    }

    /// Ejects the endpoint for a time that grows with each ejection.
    pub fn eject(&mut self, now: Millis) {
        self.ejections += 1;
        let length = (EJECT_MS * u64::from(self.ejections)).min(MAX_EJECT_MS);
        self.ejected_until = Some(now.plus(Millis(length)));
        self.us_per_token = 0.0;
        self.observations = 0;
        self.failures = 0;
        self.waiting_since = None;
        self.last_progress = None;
    }

    /// Forgets earlier ejections after a long time of health.
    pub fn reset_old_ejections(&mut self, now: Millis) {
        let is_old = |until: Millis| now.since(until).0 >= FORGET_MS;
        if self.ejected_until.is_some_and(is_old) {
            self.ejected_until = None;
            self.ejections = 0;
        }
    }

    /// Returns whether the endpoint is ejected.
    pub fn is_ejected(&self, now: Millis) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the part of its traffic that the endpoint takes, in percent.
    pub fn weight_percent(&self, now: Millis) -> u64 {
        let Some(until) = self.ejected_until else {
            return 100;
        };
        if now < until {
            return 0;
        }
        let back = now.since(until).0.min(RETURN_MS);
        RETURN_PERCENT + (100 - RETURN_PERCENT) * back / RETURN_MS
    }
}
