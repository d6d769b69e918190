//! Hedged attempts for stragglers, limited by a budget.

use crate::attempt_budget::AttemptBudget;
use crate::policy::Policy;
use crate::prelude::*;
use crate::quantiles::Quantiles;
use std::cmp::Reverse;

/// Quantile of the time to the first token beyond which an attempt is a straggler.
const FIRST_TOKEN_QUANTILE: f64 = 0.95;
/// Quantile of the time for each further token that [`TOKEN_TIME_FACTOR`] multiplies.
const TOKEN_TIME_QUANTILE: f64 = 0.95;
/// Multiple of that time beyond which an attempt is a straggler.
const TOKEN_TIME_FACTOR: u64 = 2;
/// Minimum age of a straggler.
const MIN_AGE_MS: u64 = 20;
/// Maximum number of attempts in flight for one request, including the first.
const MAX_IN_FLIGHT: u32 = 2;

/// A request in flight that may get a hedged attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeCandidate {
    /// Identity of the request.
    pub request: RequestId,
    /// Whether running the work more than once is allowed; only then is it hedged.
    pub idempotent: bool,
    /// Number of its attempts in flight.
    pub in_flight: u32,
    /// Time since the start of the latest attempt.
    pub age: Millis,
    /// Time from the start of the latest attempt to its first token; `None` before that.
    pub time_to_first_token: Option<Millis>,
    /// Tokens received from the latest attempt.
    pub tokens: u64,
    /// Number of samples missing in its group, including this one; `None` for interactive work.
    pub missing_in_group: Option<u32>,
}

/// Decides which requests to one target get a hedged attempt.
#[derive(Clone, Debug)]
pub struct Hedge {
    policy: Policy,
    budget: AttemptBudget,
    first_token_ms: Quantiles,
    us_per_token: Quantiles,
}

impl Hedge {
    /// Creates an empty budget that allows `percent` hedged attempts for each 100 first attempts.
    pub fn new(policy: Policy, percent: u32) -> Self {
        Self {
            policy,
            budget: AttemptBudget::new(percent),
            first_token_ms: Quantiles::default(),
            us_per_token: Quantiles::default(),
        }
    }

    /// Changes the percentage; hedged attempts earned before are kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.budget.set_percent(percent);
    }

    /// Counts the first attempt of a request.
    pub fn first_attempt(&mut self) {
        self.budget.earn();
    }

    /// Records the time to the first token of an attempt, or to the answer of a plain service.
    pub fn observe_first_token(&mut self, took: Millis) {
        self.first_token_ms.record(took.0);
    }

    /// Records that `tokens` tokens after the first took `elapsed`.
    pub fn observe_token_time(&mut self, elapsed: Millis, tokens: u64) {
        self.us_per_token.record(elapsed.0 * 1000 / tokens.max(1));
    }

    /// Returns the requests that get a hedged attempt now, and spends from the budget. If that is
    /// too small for all, interactive requests go first, then samples with the fewest missing in
    /// their group, then older ones.
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

    /// Returns the age at which an attempt without a token becomes a straggler; `None` while there
    /// are too few measurements.
    pub fn first_token_delay(&self) -> Option<Millis> {
        let limit = self.first_token_ms.at(FIRST_TOKEN_QUANTILE)?;
        Some(Millis(limit.max(MIN_AGE_MS)))
    }

    fn is_due(&self, candidate: &HedgeCandidate) -> bool {
        candidate.idempotent && candidate.in_flight < MAX_IN_FLIGHT && self.is_slow(candidate)
    }

    fn is_slow(&self, candidate: &HedgeCandidate) -> bool {
        match candidate.time_to_first_token {
            None => self
                .first_token_delay()
                .is_some_and(|limit| candidate.age > limit),
            Some(first) => self.has_slow_tokens(candidate.age.since(first), candidate.tokens),
        }
    }

    fn has_slow_tokens(&self, elapsed: Millis, tokens: u64) -> bool {
        let Some(us_per_token) = self.us_per_token.at(TOKEN_TIME_QUANTILE) else {
            return false;
        };
        let limit_us = us_per_token.max(1) * TOKEN_TIME_FACTOR * tokens.max(1);
        elapsed.0 >= MIN_AGE_MS && elapsed.0 * 1000 > limit_us
    }
}
