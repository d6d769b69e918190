//! Which failed calls show that the store was out of reach.

use oleander_rollout::prelude::*;
use oleander_rollout::store::store_health::StoreHealth;

const WITHIN: Millis = Millis(1000);

#[test]
fn a_call_that_times_out_while_later_ones_are_answered_is_no_outage() {
    let health = StoreHealth::default();
    let began = now();
    health.record_answer(began.plus(Millis(200)));
    health.record_failure(began);
    assert!(!health.failed_within(WITHIN));
}

#[test]
fn a_call_that_fails_after_the_last_answer_is_an_outage() {
    let health = StoreHealth::default();
    let began = now();
    health.record_answer(began);
    health.record_failure(began.plus(Millis(1)));
    assert!(health.failed_within(WITHIN));
    assert!(!health.failed_within(Millis::ZERO));
}

#[test]
fn a_watch_that_began_before_an_outage_does_not_hide_it() {
    let health = StoreHealth::default();
    let began = now();
    health.record_answer(began.since(Millis(500)));
    health.record_failure(began);
    assert!(health.failed_within(WITHIN));
}
