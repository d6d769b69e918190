//! Retries, hedged attempts and cancellations.

use arbtest::arbtest;
use oleanderlock::attempt_budget::AttemptBudget;
use oleanderlock::cancel_rule::{CancelRule, cancel_rule, losers};
use oleanderlock::hedge::{Hedge, HedgeCandidate};
use oleanderlock::policy::Policy;
use oleanderlock::prelude::*;
use oleanderlock::retry_budget::{FailedAttempt, RetryBudget, RetryDecision};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use strum::VariantArray;

/// Retries allowed, in percent of first attempts.
const PERCENT: u32 = 10;

/// Returns a budget that has accumulated many retries.
fn full_budget() -> RetryBudget {
    let mut budget = RetryBudget::new(Policy::Product, PERCENT);
    (0..1_000).for_each(|_| budget.first_attempt());
    budget
}

fn failed(error: ErrorKind) -> FailedAttempt {
    FailedAttempt {
        error,
        ran: Ran::No,
        idempotent: true,
        attempts: 1,
        retry_after: Millis::ZERO,
        has_candidate: true,
        deadline: Millis(10_000),
        draw: 0,
    }
}

fn is_retry(decision: RetryDecision) -> bool {
    matches!(decision, RetryDecision::Retry(_))
}

fn error_of(decision: RetryDecision) -> Option<ErrorKind> {
    match decision {
        RetryDecision::Retry(_) => None,
        RetryDecision::GiveUp(refusal) => Some(refusal.error),
    }
}

#[test]
fn retries_never_exceed_their_share_of_first_attempts() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut budget = RetryBudget::new(Policy::Product, PERCENT);
        let (mut firsts, mut retries) = (0u64, 0u64);
        for _ in 0..5_000 {
            if rng.random_bool(0.4) {
                budget.first_attempt();
                firsts += 1;
            } else {
                let decision = budget.decide(Millis::ZERO, failed(ErrorKind::EndpointFailed));
                retries += u64::from(is_retry(decision));
            }
            assert!(retries * 100 <= firsts * u64::from(PERCENT), "seed {seed}");
        }
        while is_retry(budget.decide(Millis::ZERO, failed(ErrorKind::EndpointFailed))) {
            retries += 1;
        }
        assert_eq!(retries, firsts * u64::from(PERCENT) / 100, "seed {seed}");
    }
}

#[test]
fn budget_matches_a_count_below_its_maximum() {
    for case in 1..=200u64 {
        let property = |u: &mut arbtest::arbitrary::Unstructured| {
            let percent = u.int_in_range(0..=100)?;
            let mut budget = AttemptBudget::new(percent);
            let (mut firsts, mut spent) = (0u64, 0u64);
            for _ in 0..100 {
                if u.arbitrary()? {
                    budget.earn();
                    firsts += 1;
                } else {
                    let is_paid = (spent + 1) * 100 <= firsts * u64::from(percent);
                    assert_eq!(budget.spend(), is_paid);
                    spent += u64::from(is_paid);
                }
            }
            Ok(())
        };
        arbtest(property)
            .seed((case.wrapping_mul(0x9e37_79b9) << 32) | 512)
            .run();
    }
}

#[test]
fn work_that_may_have_run_is_retried_only_if_idempotent() {
    for ran in Ran::VARIANTS {
        for idempotent in [true, false] {
            let attempt = FailedAttempt {
                ran: *ran,
                idempotent,
                ..failed(ErrorKind::AgentLost)
            };
            let may_repeat = idempotent || *ran == Ran::No;
            assert_eq!(
                is_retry(full_budget().decide(Millis::ZERO, attempt)),
                may_repeat,
                "ran={ran} idempotent={idempotent}"
            );
            let mut naive = RetryBudget::new(Policy::Naive, PERCENT);
            assert_eq!(
                is_retry(naive.decide(Millis::ZERO, attempt)),
                may_repeat,
                "ran={ran} idempotent={idempotent}"
            );
        }
    }
}

#[test]
fn permanent_errors_are_not_retried() {
    for error in ErrorKind::VARIANTS {
        let decision = full_budget().decide(Millis::ZERO, failed(*error));
        if matches!(error.response().status, 400..=428 | 500) && *error != ErrorKind::ShareExhausted
        {
            assert_eq!(error_of(decision), Some(*error));
        }
    }
}

#[test]
fn retry_waits_for_retry_after_and_never_beyond_the_deadline() {
    let mut attempt = failed(ErrorKind::StoreUnavailable);
    attempt.has_candidate = false;
    attempt.retry_after = Millis(300);
    for draw in 0..1_000 {
        attempt.draw = draw;
        let RetryDecision::Retry(after) = full_budget().decide(Millis::ZERO, attempt) else {
            panic!("the retry fits before the deadline");
        };
        assert!((300..=325).contains(&after.0), "retry after {after}");
    }
    attempt.deadline = Millis(300);
    let RetryDecision::GiveUp(refusal) = full_budget().decide(Millis::ZERO, attempt) else {
        panic!("the retry is after the deadline");
    };
    assert_eq!(refusal.error, ErrorKind::StoreUnavailable);
    assert!(refusal.retry_after >= Millis(300));
}

#[test]
fn retry_is_immediate_with_another_endpoint_and_backs_off_otherwise() {
    let leaving = FailedAttempt {
        draw: 7,
        ..failed(ErrorKind::Leaving)
    };
    assert_eq!(
        full_budget().decide(Millis::ZERO, leaving),
        RetryDecision::Retry(Millis::ZERO)
    );
    let longest = |attempts| {
        let waits = (0..5_000).filter_map(|draw| {
            let attempt = FailedAttempt {
                has_candidate: false,
                attempts,
                draw,
                ..failed(ErrorKind::NoEndpoint)
            };
            match full_budget().decide(Millis::ZERO, attempt) {
                RetryDecision::Retry(after) => Some(after.0),
                RetryDecision::GiveUp(_) => None,
            }
        });
        waits.max()
    };
    assert_eq!(
        [1, 2, 3, 4, 5].map(longest),
        [Some(25), Some(50), Some(100), Some(200), None]
    );
}

#[test]
fn overload_is_not_retried_without_another_endpoint() {
    for error in [ErrorKind::Overloaded, ErrorKind::ShareExhausted] {
        let mut attempt = failed(error);
        attempt.retry_after = Millis(300);
        attempt.draw = 7;
        let decision = full_budget().decide(Millis::ZERO, attempt);
        assert_eq!(decision, RetryDecision::Retry(Millis::ZERO));
        attempt.has_candidate = false;
        let RetryDecision::GiveUp(refusal) = full_budget().decide(Millis::ZERO, attempt) else {
            panic!("there is no other endpoint");
        };
        assert_eq!(refusal.error, error);
        assert_eq!(refusal.retry_after, Millis(300));
    }
}

#[test]
fn spent_budget_is_reported_with_retry_after() {
    let mut budget = RetryBudget::new(Policy::Product, PERCENT);
    let mut attempt = failed(ErrorKind::EndpointFailed);
    attempt.retry_after = Millis(40);
    let RetryDecision::GiveUp(refusal) = budget.decide(Millis::ZERO, attempt) else {
        panic!("the budget is empty");
    };
    assert_eq!(refusal.error, ErrorKind::RetryBudget);
    assert_eq!(refusal.retry_after, Millis(40));
}

/// Returns a hedge for a target whose first tokens take 50 ms and further ones 2 ms each, with a
/// budget for `earned` hedged attempts.
fn hedge(earned: u64) -> Hedge {
    let mut hedge = Hedge::new(Policy::Product, 100);
    for _ in 0..200 {
        hedge.observe_first_token(Millis(50));
        hedge.observe_token_time(Millis(40), 20);
    }
    (0..earned).for_each(|_| hedge.first_attempt());
    hedge
}

fn candidate(number: u128, age: u64) -> HedgeCandidate {
    HedgeCandidate {
        request: RequestId(number),
        idempotent: true,
        in_flight: 1,
        age: Millis(age),
        time_to_first_token: None,
        tokens: 0,
        missing_in_group: None,
    }
}

#[test]
fn only_idempotent_stragglers_are_hedged_and_only_once() {
    let late = candidate(1, 500);
    let usual = candidate(2, 45);
    let once = HedgeCandidate {
        idempotent: false,
        ..candidate(3, 500)
    };
    let hedged = HedgeCandidate {
        in_flight: 2,
        ..candidate(4, 500)
    };
    assert_eq!(
        hedge(9).choose(&[late, usual, once, hedged]),
        [RequestId(1)]
    );
}

#[test]
fn long_answer_at_the_usual_speed_is_not_a_straggler() {
    let long = HedgeCandidate {
        time_to_first_token: Some(Millis(50)),
        tokens: 2_000,
        ..candidate(1, 4_050)
    };
    let slow = HedgeCandidate {
        tokens: 200,
        ..long
    };
    assert!(hedge(9).choose(&[long]).is_empty());
    assert_eq!(hedge(9).choose(&[slow]), [RequestId(1)]);
}

#[test]
fn the_last_missing_sample_of_a_group_is_hedged_first_within_the_budget() {
    let sample = |number, age, missing| HedgeCandidate {
        missing_in_group: Some(missing),
        ..candidate(number, age)
    };
    let all = [
        sample(1, 900, 4),
        sample(2, 500, 1),
        sample(3, 600, 1),
        candidate(4, 200),
    ];
    assert_eq!(hedge(3).choose(&all), [4, 3, 2].map(RequestId));
    assert!(hedge(0).choose(&all).is_empty());
}

#[test]
fn nothing_is_hedged_with_too_few_measurements() {
    let mut hedge = Hedge::new(Policy::Product, 100);
    (0..9).for_each(|_| hedge.first_attempt());
    (0..19).for_each(|_| hedge.observe_first_token(Millis(50)));
    assert!(hedge.choose(&[candidate(1, 5_000)]).is_empty());
}

#[test]
fn non_idempotent_work_is_not_cancelled_once_it_runs() {
    assert_eq!(cancel_rule(true), CancelRule::Cancel);
    assert_eq!(cancel_rule(false), CancelRule::CancelUnlessStarted);
}

#[test]
fn all_attempts_but_the_winner_are_cancelled() {
    let ticket = |attempt| Ticket {
        attempt,
        ..Ticket::default()
    };
    assert_eq!(
        losers(ticket(1), &[0, 1, 2].map(ticket)),
        [0, 2].map(ticket)
    );
}
