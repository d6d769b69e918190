//! Retries of failed attempts, within a budget.

use crate::attempt_budget::AttemptBudget;
use crate::policy::Policy;
use crate::prelude::*;
use crate::work::Refusal;

/// Upper end of the first backoff; it doubles with each attempt.
const FIRST_BACKOFF_MS: u64 = 25;
/// Upper end of the longest backoff.
const MAX_BACKOFF_MS: u64 = 2_000;
/// Most attempts of one request.
const MAX_ATTEMPTS: u32 = 5;

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Why it failed.
    pub error: ErrorKind,
    /// Whether the work ran.
    pub ran: Ran,
    /// Whether the work may be repeated.
    pub idempotent: bool,
    /// Attempts of the request so far, this one included.
    pub attempts: u32,
    /// Time to come back that the server named.
    pub retry_after: Millis,
    /// Whether another endpoint that was not tried takes work.
    pub has_other: bool,
    /// Point after which the answer is of no use.
    pub deadline: Millis,
    /// A drawn value for the jitter.
    pub draw: u64,
}

/// What to do about a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this time.
    Retry(Millis),
    /// Answer the caller now.
    GiveUp(Refusal),
}

/// Decides on retries at one entry.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    policy: Policy,
    budget: AttemptBudget,
}

impl RetryBudget {
    /// Creates an empty budget of `percent` of the first attempts.
    pub fn new(policy: Policy, percent: u32) -> Self {
        Self {
            policy,
            budget: AttemptBudget::new(percent),
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

    /// Decides on a failed attempt.
    pub fn decide(&mut self, now: Millis, failed: FailedAttempt) -> RetryDecision {
        if !may_repeat(&failed) {
            return give_up(failed.error, failed.retry_after);
        }
        if self.policy == Policy::Naive {
            return naive(&failed);
        }
        if is_of_load(failed.error) && !failed.has_other {
            return give_up(failed.error, failed.retry_after);
        }
        let after = backoff(&failed);
        let is_late = now.plus(after) >= failed.deadline;
        if failed.attempts >= MAX_ATTEMPTS || is_late {
            return give_up(failed.error, after.max(failed.retry_after));
        }
        match self.budget.spend() {
            true => RetryDecision::Retry(after),
            false => give_up(ErrorKind::RetryBudget, after.max(failed.retry_after)),
        }
    }
}

/// Returns whether the failure is one that a repetition can mend and that allows it.
fn may_repeat(failed: &FailedAttempt) -> bool {
    is_passing(failed.error) && (failed.idempotent || failed.ran == Ran::No)
}

/// Returns whether the cause lies in one endpoint or passes by itself.
fn is_passing(error: ErrorKind) -> bool {
    is_of_load(error)
        || matches!(
            error,
            ErrorKind::Leaving
                | ErrorKind::ShuttingDown
                | ErrorKind::Quarantined
                | ErrorKind::EndpointFailed
                | ErrorKind::AgentLost
                | ErrorKind::NoEndpoint
                | ErrorKind::WrongIncarnation
                | ErrorKind::StoreUnavailable
        )
}

/// Returns whether there is too much work. Only another endpoint can help then: to wait for the
/// same one would hold back the caller's final answer.
fn is_of_load(error: ErrorKind) -> bool {
    matches!(error, ErrorKind::Overloaded | ErrorKind::ShareExhausted)
}

/// Another endpoint takes the work at once; otherwise full jitter over an exponential range, after
/// the server's time to come back.
fn backoff(failed: &FailedAttempt) -> Millis {
    if failed.has_other {
        return Millis::ZERO;
    }
    let doublings = failed.attempts.saturating_sub(1).min(16);
    let range = (FIRST_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
    let jitter = Millis(failed.draw % (range + 1));
    failed.retry_after.plus(jitter)
}

fn naive(failed: &FailedAttempt) -> RetryDecision {
    match failed.attempts <= Policy::NAIVE_RETRIES {
        true => RetryDecision::Retry(Millis::ZERO),
        false => give_up(failed.error, failed.retry_after),
    }
}

fn give_up(error: ErrorKind, retry_after: Millis) -> RetryDecision {
    RetryDecision::GiveUp(Refusal { error, retry_after })
}
