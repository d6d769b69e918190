//! Retry budgets of an entry, and the retries that wait for their backoff.

use crate::entry::entry_event::ChooseCall;
use crate::prelude::*;
use indexmap::IndexMap;
use oleanderlock::contract::Contract;
use oleanderlock::policy::Policy;
use oleanderlock::retry_budget::{FailedAttempt, RetryBudget, RetryDecision};
use std::collections::BTreeMap;

/// Decides on retries, with a budget for each customer.
///
/// Bounded by the customers, and by the requests in flight.
#[derive(Debug)]
pub struct RetryScheduler {
    policy: Policy,
    budgets: IndexMap<String, RetryBudget>,
    waiting: BTreeMap<Due, ChooseCall>,
    next_number: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Millis,
    number: u64,
}

impl RetryScheduler {
    /// Creates empty budgets.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            budgets: IndexMap::new(),
            waiting: BTreeMap::new(),
            next_number: 0,
        }
    }

    /// Earns from a first attempt, or decides on a failed one; `has_candidate` tells whether an
    /// endpoint that was not tried takes work.
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
            // The request asks again only if its work did not run or may be repeated.
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

    /// Holds a retry back until its backoff is over.
    pub fn hold(&mut self, until: Millis, call: ChooseCall) {
        let due = Due {
            at: until,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(due, call);
    }

    /// Takes a retry whose backoff is over.
    pub fn pop_due(&mut self, now: Millis) -> Option<ChooseCall> {
        let first = self.waiting.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }
}
