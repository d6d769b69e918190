//! Measured health of one endpoint.

use crate::prelude::*;

/// Weight of a new observation in the moving average of the time for each token.
const GAIN: f64 = 0.2;
/// Number of observations from which the time for each token is used.
const MIN_OBSERVATIONS: u32 = 5;
/// Number of consecutive failures at which an endpoint is ejected.
const MAX_FAILURES: u32 = 3;
/// Length of the first ejection; each further one is longer by the same time.
const EJECT_MS: u64 = 5_000;
/// Maximum length of an ejection.
const MAX_EJECT_MS: u64 = 60_000;
/// Time over which the traffic of an endpoint ramps up after an ejection.
const RAMP_MS: u64 = 10_000;
/// Percentage of its normal traffic that an endpoint gets when the ramp starts.
const RAMP_START_PERCENT: u64 = 10;
/// Time after the last ejection after which the count of ejections is reset.
const EJECTION_MEMORY_MS: u64 = 120_000;

/// Tracks time for each token, failures, progress and ejections of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointHealth {
    us_per_token: f64,
    observations: u32,
    /// Consecutive failures.
    failures: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
    /// Last progress, or the start of the first attempt in flight if that is later.
    waiting_since: Option<Millis>,
    last_progress: Option<Millis>,
}

impl EndpointHealth {
    /// Records that `units` tokens, or one call of a plain service, took `elapsed`.
    pub fn record_pace(&mut self, now: Millis, elapsed: Millis, units: u64) {
        let us_per_token = elapsed.0 as f64 * 1000.0 / units.max(1) as f64;
        self.observations = self.observations.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.observations));
        self.us_per_token += gain * (us_per_token - self.us_per_token);
        self.record_progress(now);
    }

    /// Records progress: a token, or the end of an attempt. Resets the count of failures.
    pub fn record_progress(&mut self, now: Millis) {
        self.waiting_since = Some(now);
        self.last_progress = Some(now);
        self.failures = 0;
    }

    /// Records the start of an attempt; `is_first` if no other is in flight.
    pub fn record_start(&mut self, now: Millis, is_first: bool) {
        if is_first || self.waiting_since.is_none() {
            self.waiting_since = Some(now);
        }
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns the mean time for each token in microseconds; `None` while there are too few
    /// observations.
    pub fn us_per_token(&self) -> Option<f64> {
        (self.observations >= MIN_OBSERVATIONS).then_some(self.us_per_token)
    }

    /// Returns whether at least `MAX_FAILURES` attempts failed since the last progress.
    pub fn is_failing(&self) -> bool {
        self.failures >= MAX_FAILURES
    }

    /// Returns the time without progress; zero before the first attempt. Only meaningful while an
    /// attempt is in flight.
    pub fn silence(&self, now: Millis) -> Millis {
        self.waiting_since
            .map_or(Millis::ZERO, |since| now.since(since))
    }

    /// Returns whether the last progress was at most `limit` ago.
    pub fn is_live(&self, now: Millis, limit: Millis) -> bool {
        self.last_progress.is_some_and(|at| now.since(at) <= limit)
    }

    /// Ejects the endpoint for a time that grows with each ejection, and resets its measurements.
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

    /// Resets the count of ejections once `EJECTION_MEMORY_MS` has passed since the last one.
    pub fn reset_old_ejections(&mut self, now: Millis) {
        let is_old = |until: Millis| now.since(until).0 >= EJECTION_MEMORY_MS;
        if self.ejected_until.is_some_and(is_old) {
            self.ejected_until = None;
            self.ejections = 0;
        }
    }

    /// Returns whether the endpoint is ejected now.
    pub fn is_ejected(&self, now: Millis) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns the percentage of its normal traffic that the endpoint gets now: 0 while ejected,
    /// then rising to 100.
    pub fn weight_percent(&self, now: Millis) -> u64 {
        let Some(until) = self.ejected_until else {
            return 100;
        };
        if now < until {
            return 0;
        }
        let elapsed = now.since(until).0.min(RAMP_MS);
        RAMP_START_PERCENT + (100 - RAMP_START_PERCENT) * elapsed / RAMP_MS
    }
}
