//! Hedged attempts for stragglers, within a budget.

use crate::attempt_budget::AttemptBudget;
use crate::policy::Policy;
use crate::prelude::*;
use crate::quantiles::Quantiles;
use std::cmp::Reverse;

/// Quantile of the waits for a first token beyond which an attempt is a straggler.
const FIRST_TOKEN_QUANTILE: f64 = 0.95;
/// Quantile of the us_per_token that a straggler exceeds.
const PACE_QUANTILE: f64 = 0.95;
/// Multiple of that pace beyond which an attempt is a straggler.
const PACE_FACTOR: u64 = 2;
/// Shortest age of a straggler.
const MIN_AGE_MS: u64 = 20;
/// Most attempts in flight for one request, the first included.
const MAX_IN_FLIGHT: u32 = 2;

/// A request in flight that may get a hedged attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeCandidate {
    /// The request.
    pub request: RequestId,
    /// Whether the work may be repeated.
    pub idempotent: bool,
    /// Attempts in flight.
    pub in_flight: u32,
    /// Age of the latest attempt.
    pub age: Millis,
    /// Age at which its first token came; `None` before.
    pub time_to_first_token: Option<Millis>,
    /// Tokens that it has made.
    pub tokens: u64,
    /// Samples that its group still misses, this one included; `None` for interactive work.
    pub missing_in_group: Option<u32>,
}

/// Decides which requests get a hedged attempt, for one target at one entry.
#[derive(Clone, Debug)]
pub struct Hedge {
    policy: Policy,
    budget: AttemptBudget,
    first_token_ms: Quantiles,
    us_per_token: Quantiles,
}

impl Hedge {
    /// Creates an empty budget of `percent` of the first attempts.
    pub fn new(policy: Policy, percent: u32) -> Self {
        Self {
            policy,
            budget: AttemptBudget::new(percent),
            first_token_ms: Quantiles::default(),
            us_per_token: Quantiles::default(),
        }
    }

    /// Changes the share; what is saved is kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.budget.set_percent(percent);
    }

    /// Counts the first attempt of a request.
    pub fn first_attempt(&mut self) {
        self.budget.earn();
    }

    /// Takes in how long an attempt took to its first token, or a plain call to its answer.
    pub fn observe_first_token(&mut self, took: Millis) {
        self.first_token_ms.record(took.0);
    }

    /// Takes in that `tokens` further tokens took `elapsed`.
    pub fn observe_token_time(&mut self, elapsed: Millis, tokens: u64) {
        self.us_per_token.record(elapsed.0 * 1000 / tokens.max(1));
    }

    /// Returns the requests that get a hedged attempt now, and pays for them: interactive ones
    /// first, then the last missing sample of a group before others, then the oldest.
    pub fn choose(&mut self, candidates: &[HedgeCandidate]) -> Vec<RequestId> {
        if self.policy != Policy::Product {
            return Vec::new();
        }
        let due = candidates.iter().filter(|candidate| self.is_due(candidate));
        let mut due: Vec<&HedgeCandidate> = due.collect();
        due.sort_by_key(|candidate| (candidate.missing_in_group, Reverse(candidate.age)));
        let paid = due.into_iter().take_while(|_| self.budget.spend());
        paid.map(|candidate| candidate.request).collect()
    }

    /// Returns the age at which an attempt without a token becomes a straggler; `None` while too
    /// little has been measured.
    pub fn first_token_delay(&self) -> Option<Millis> {
        let late = self.first_token_ms.at(FIRST_TOKEN_QUANTILE)?;
        Some(Millis(late.max(MIN_AGE_MS)))
    }

    fn is_due(&self, candidate: &HedgeCandidate) -> bool {
        candidate.idempotent && candidate.in_flight < MAX_IN_FLIGHT && self.is_slow(candidate)
    }

    fn is_slow(&self, candidate: &HedgeCandidate) -> bool {
        match candidate.time_to_first_token {
            None => self
                .first_token_delay()
                .is_some_and(|late| candidate.age > late),
            Some(first) => self.has_slow_pace(candidate.age.since(first), candidate.tokens),
        }
    }

    fn has_slow_pace(&self, elapsed: Millis, tokens: u64) -> bool {
        let Some(pace) = self.us_per_token.at(PACE_QUANTILE) else {
            return false;
        };
        let usual_us = pace.max(1) * PACE_FACTOR * tokens.max(1);
        elapsed.0 >= MIN_AGE_MS && elapsed.0 * 1000 > usual_us
    }
}
