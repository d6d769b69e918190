//! Retry budgets of the customers, and the retries that wait for their backoff.

use crate::entry::choose_call::ChooseCall;
use crate::prelude::*;
use indexmap::IndexMap;
use oleanderlock::contract::Contract;
use oleanderlock::policy::Policy;
use oleanderlock::retry_budget::{FailedAttempt, RetryBudget, RetryDecision};
use std::collections::BTreeMap;

/// Decides on retries, with a budget for each customer.
///
/// Holds one budget for each customer, and at most one retry for each request in flight.
#[derive(Debug)]
pub struct RetryScheduler {
    policy: Policy,
    budgets: IndexMap<String, RetryBudget>,
    waiting: BTreeMap<Due, ChooseCall>,
    next_number: u64,
}

/// Key of a waiting retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Millis,
    /// Distinguishes retries that are due at the same time.
    number: u64,
}

impl RetryScheduler {
    /// Creates a scheduler without budgets and retries.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            budgets: IndexMap::new(),
            waiting: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Adds to the customer's budget for a first attempt, or decides whether a failed one is
    /// retried; `has_candidate` is whether an endpoint that was not tried yet takes work.
    pub fn decide(
        &mut self,
        now: Millis,
        contract: &Contract,
        call: &ChooseCall,
        has_candidate: bool,
    ) -> RetryDecision {
        let percent = contract.limits.retry_percent;
        let policy = self.policy;
        let budget = self.budgets.entry(contract.customer.clone());
        let budget = budget.or_insert_with(|| RetryBudget::new(policy, percent));
        budget.set_percent(percent);
        let Some(failed) = call.previous_failure else {
            budget.first_attempt();
            return RetryDecision::Retry(Millis::ZERO);
        };
        let failed = FailedAttempt {
            error: failed.error,
            // A request asks for a retry only if its work did not run or may be repeated.
            ran: Ran::No,
            idempotent: true,
            attempts: failed.attempts,
            retry_after: failed.retry_after,
            has_candidate,
            deadline: call.deadline,
            draw: rand::random(),
        };
        budget.decide(now, failed)
    }

    /// Holds a retry until its backoff ends at `until`.
    pub fn hold(&mut self, until: Millis, call: ChooseCall) {
        let due = Due {
            at: until,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(due, call);
    }

    /// Removes and returns a retry whose backoff is over, the earliest first.
    pub fn pop_due(&mut self, now: Millis) -> Option<ChooseCall> {
        let first = self.waiting.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }
}
