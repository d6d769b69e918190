//! What a process knows of an endpoint's speed and trouble from its own calls.

use crate::affinity_score::hash_bytes;
use crate::prelude::*;

/// Answers after which the mean follows further ones slowly. A slowdown of a few seconds then moves
/// it little.
const SETTLED_ANSWERS: u32 = 32;
/// An answer counts in the mean as this many times the mean at most, so that one hung call does not
/// make an endpoint slow for minutes.
const OUTLIER_RATIO: f64 = 4.0;
/// Least weight of the newest answer in the recent mean.
const RECENT_WEIGHT: f64 = 0.25;
/// Time constant with which the recent mean loses its weight beside a new answer, in milliseconds.
const RECENT_MEMORY_MS: f64 = 1_000.0;
/// Weight of an answer that took longer than [`OUTLIER_RATIO`] times the mean: one is enough to leave
/// an endpoint that is 8 times as slow.
const RECENT_WEIGHT_OUTLIER: f64 = 0.5;
/// Ratio of an answer time to the mean from which it confirms a slowdown. Each answer in a row that
/// does doubles the time for which the slowdown is remembered, so that an endpoint that stays slow is
/// tried less and less often.
const CONFIRMING_RATIO: f64 = 2.5;
/// Most doublings of that time.
const CONFIRMATIONS_MAX: u32 = 3;
/// Answers' worth of the mean of all endpoints that is mixed into that of one. Work times vary by
/// about twice as much as speeds, so four answers tell as much as the others' mean.
const PRIOR_ANSWERS: f64 = 2.0;
/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.125;
/// Time constant with which knowledge of a slowdown loses its weight, in milliseconds. Slowdowns
/// last for seconds.
const SLOWNESS_DECAY_MS: f64 = 2_000.0;
/// Ratio of the recent mean to the long one below which an endpoint does not count as slowed: random
/// work times make up to this difference.
const NOISE_RATIO: f64 = 1.3;
/// Ratio of the time without any answer to the mean below which nothing is concluded from it.
const SILENCE_RATIO: f64 = 2.0;
/// Shortest time for which a refusal because an endpoint is full has half of its weight left, in
/// milliseconds.
const FULL_DECAY_MIN_MS: f64 = 100.0;

/// What a process knows of an endpoint from its own calls.
///
/// Each estimate has the age of its newest evidence and loses its weight with it: after a few
/// seconds without calls, an endpoint counts as neither slowed nor full.
#[derive(Clone, Copy, Debug)]
pub struct EvenEndpoint {
    /// Place on the ring from which callers take their subsets.
    pub ring: u64,
    /// Answers so far.
    pub answers: u32,
    /// Calls that the endpoint is owed by its share so far; negative after one ahead of its turn.
    pub(super) credit: f64,
    // Long and recent mean of the answer times, in microseconds.
    mean_us: f64,
    recent_us: f64,
    // Answers in a row that confirm a slowdown.
    confirmations: u32,
    failure_share: f64,
    // Time of the newest answer, refusal or abandoned call.
    known_at: Option<Millis>,
    refused_at: Option<Millis>,
    // Since when calls are in flight without an answer to any.
    silent_since: Option<Millis>,
}

impl EvenEndpoint {
    /// Returns an endpoint of which nothing is known; `credit` is its initial one.
    pub fn new(instance: &str, credit: f64) -> Self {
        Self {
            ring: hash_bytes(instance.as_bytes()),
            answers: 0,
            credit,
            mean_us: 0.0,
            recent_us: 0.0,
            confirmations: 0,
            failure_share: 0.0,
            known_at: None,
            refused_at: None,
            silent_since: None,
        }
    }

    /// Records that a call is sent.
    pub fn record_start(&mut self, now: Millis) {
        self.silent_since.get_or_insert(now);
    }

    /// Records that a call has ended; `in_flight` calls of this process remain.
    pub fn record_end(&mut self, in_flight: usize, now: Millis) {
        self.silent_since = (in_flight > 0).then_some(now);
    }

    /// Records an answer that took `took`.
    pub fn record_answer(&mut self, took: Millis, now: Millis) {
        let us = (took.0 * 1000).max(500) as f64;
        let first = self.answers == 0;
        self.answers = self.answers.saturating_add(1);
        if first {
            self.mean_us = us;
            self.recent_us = us;
        } else {
            self.record_recent(us, now);
            let capped = us.min(self.mean_us * OUTLIER_RATIO);
            self.mean_us += (capped - self.mean_us) / f64::from(self.answers.min(SETTLED_ANSWERS));
        }
        self.failure_share *= 1.0 - FAILURE_WEIGHT;
        self.known_at = Some(now);
    }

    /// Records that an answer was no longer waited for after `waited`.
    pub fn record_abandoned(&mut self, waited: Millis, now: Millis) {
        let us = (waited.0 * 1000) as f64;
        if self.answers > 0 && us > self.mean_us * self.faded_ratio(now) {
            self.record_recent(us, now);
            self.known_at = Some(now);
        }
    }

    fn record_recent(&mut self, us: f64, now: Millis) {
        let weight = if us > self.mean_us * OUTLIER_RATIO {
            RECENT_WEIGHT_OUTLIER
        } else {
            // The older the recent mean, the less it tells beside a new answer.
            let age_ms = self.age(now).map_or(0.0, |age| age.0 as f64);
            (1.0 - (-age_ms / RECENT_MEMORY_MS).exp()).clamp(RECENT_WEIGHT, RECENT_WEIGHT_OUTLIER)
        };
        // What is known of a slowdown has faded by now.
        let recent = self.mean_us * self.faded_ratio(now);
        self.recent_us = recent + (us - recent) * weight;
        let confirms = us > self.mean_us * CONFIRMING_RATIO;
        self.confirmations = if confirms { self.confirmations + 1 } else { 0 };
    }

    /// Records that the endpoint ran a call and failed, or lost its response.
    pub fn record_failure(&mut self) {
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
    }

    /// Records a refusal because the endpoint is full.
    pub fn record_full(&mut self, now: Millis) {
        self.refused_at = Some(now);
        self.known_at = Some(now);
    }

    /// Returns the mean answer time in microseconds, drawn towards that of all endpoints
    /// (`typical_us`) while few answers are known.
    pub fn usual_us(&self, typical_us: f64) -> f64 {
        let known = f64::from(self.answers.min(SETTLED_ANSWERS));
        (known * self.mean_us + PRIOR_ANSWERS * typical_us) / (known + PRIOR_ANSWERS)
    }

    /// Returns the mean answer time in microseconds; `None` before the first answer.
    pub fn mean_us(&self) -> Option<f64> {
        (self.answers > 0).then_some(self.mean_us)
    }

    /// Returns how many times as slow as usual the endpoint is now, 1 if that is not beyond chance.
    pub fn slowness(&self, typical_us: f64, now: Millis) -> f64 {
        let recent = self.faded_ratio(now) / NOISE_RATIO;
        let silent = self.silent_since.map_or(0.0, |since| {
            let us = (now.since(since).0 * 1000) as f64;
            us / (self.usual_us(typical_us).max(1.0) * SILENCE_RATIO)
        });
        recent.max(silent).max(1.0)
    }

    /// Returns how likely the endpoint is still full after it refused a call, 0 to 1: about its
    /// other calls end within the time of one.
    pub fn fullness(&self, typical_us: f64, now: Millis) -> f64 {
        self.refused_at.map_or(0.0, |at| {
            let decay_ms = (2.0 * self.usual_us(typical_us) / 1000.0).max(FULL_DECAY_MIN_MS);
            (-(now.since(at).0 as f64) / decay_ms).exp()
        })
    }

    /// Returns the share of recent calls that the endpoint failed.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns the age of what is known; `None` if nothing is.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.known_at.map(|at| now.since(at))
    }

    /// Returns the ratio of the recent mean to the long one, faded towards 1 with its age.
    fn faded_ratio(&self, now: Millis) -> f64 {
        let Some(age) = self.age(now).filter(|_| self.mean_us > 0.0) else {
            return 1.0;
        };
        let doublings = self.confirmations.saturating_sub(1).min(CONFIRMATIONS_MAX);
        let decay_ms = SLOWNESS_DECAY_MS * f64::from(1u32 << doublings);
        let weight = (-(age.0 as f64) / decay_ms).exp();
        1.0 + (self.recent_us / self.mean_us - 1.0) * weight
    }
}
