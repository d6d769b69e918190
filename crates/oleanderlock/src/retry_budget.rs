//! Retries of failed attempts, within a budget.

use crate::attempt_budget::AttemptBudget;
use crate::policy::Policy;
use crate::prelude::*;
use crate::work::Refusal;

/// Upper bound of the first backoff; doubles with each attempt.
const FIRST_BACKOFF_MS: u64 = 25;
/// Maximum upper bound of the backoff.
const MAX_BACKOFF_MS: u64 = 2_000;
/// Maximum number of attempts of one request, including the first.
const MAX_ATTEMPTS: u32 = 5;

/// A failed attempt, with all that the decision on a retry depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Why it failed.
    pub error: ErrorKind,
    /// Whether the work ran.
    pub ran: Ran,
    /// Whether running the work more than once is allowed.
    pub idempotent: bool,
    /// Attempts of the request so far, including this one.
    pub attempts: u32,
    /// Time from now after which the agent expects to accept the work; zero if not given.
    pub retry_after: Millis,
    /// Whether an endpoint that was not tried yet accepts work.
    pub has_candidate: bool,
    /// Time after which the answer is of no use.
    pub deadline: Millis,
    /// Uniformly distributed random number for the jitter.
    pub draw: u64,
}

/// Decision on a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Start another attempt after this time.
    Retry(Millis),
    /// Answer the caller with this refusal now.
    GiveUp(Refusal),
}

/// Decides whether failed attempts are retried, and limits retries to a percentage of first
/// attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    policy: Policy,
    budget: AttemptBudget,
}

impl RetryBudget {
    /// Creates an empty budget that allows `percent` retries for each 100 first attempts.
    pub fn new(policy: Policy, percent: u32) -> Self {
        Self {
            policy,
            budget: AttemptBudget::new(percent),
        }
    }

    /// Changes the percentage; retries earned before are kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.budget.set_percent(percent);
    }

    /// Counts the first attempt of a request.
    pub fn first_attempt(&mut self) {
        self.budget.earn();
    }

    /// Decides on a failed attempt, and spends from the budget if it is retried.
    pub fn decide(&mut self, now: Millis, failed: FailedAttempt) -> RetryDecision {
        if !may_repeat(&failed) {
            return give_up(failed.error, failed.retry_after);
        }
        if self.policy == Policy::Naive {
            return naive_decision(&failed);
        }
        if is_overload(failed.error) && !failed.has_candidate {
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

/// Returns whether a retry may succeed and can't run non-idempotent work twice.
fn may_repeat(failed: &FailedAttempt) -> bool {
    is_transient(failed.error) && (failed.idempotent || failed.ran == Ran::No)
}

/// Returns whether the cause is limited to one endpoint or temporary.
fn is_transient(error: ErrorKind) -> bool {
    is_overload(error)
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

/// Returns whether the endpoint or the class has too much work. Only another endpoint can help
/// then: waiting for the same one would only delay the final answer to the caller.
fn is_overload(error: ErrorKind) -> bool {
    matches!(error, ErrorKind::Overloaded | ErrorKind::ShareExhausted)
}

/// Returns the delay before the next attempt: none if another endpoint accepts work, otherwise the
/// agent's `retry_after` plus full jitter over a range that grows exponentially.
fn backoff(failed: &FailedAttempt) -> Millis {
    if failed.has_candidate {
        return Millis::ZERO;
    }
    let doublings = failed.attempts.saturating_sub(1).min(16);
    let range = (FIRST_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
    let jitter = Millis(failed.draw % (range + 1));
    failed.retry_after.plus(jitter)
}

fn naive_decision(failed: &FailedAttempt) -> RetryDecision {
    match failed.attempts <= Policy::NAIVE_RETRIES {
        true => RetryDecision::Retry(Millis::ZERO),
        false => give_up(failed.error, failed.retry_after),
    }
}

fn give_up(error: ErrorKind, retry_after: Millis) -> RetryDecision {
    RetryDecision::GiveUp(Refusal { error, retry_after })
}
