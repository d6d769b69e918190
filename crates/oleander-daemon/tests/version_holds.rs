//! Samples wait for the version that they should have, if their contract says so.

use oleander_daemon::entry::choose_call::ChooseCall;
use oleander_daemon::entry::previous_failure::PreviousFailure;
use oleander_daemon::entry::version_holds::VersionHolds;
use oleanderlock::contract::Contract;
use oleanderlock::limits::Limits;
use oleanderlock::prelude::*;
use oleanderlock::trainer_preference::TrainerPreference;

const OLD: Option<Version> = Some(Version(1));
const NEW: Option<Version> = Some(Version(2));

fn contract(weigh: TrainerPreference) -> Contract {
    Contract {
        customer: "nursery".to_owned(),
        preference: weigh,
        classes: Default::default(),
        services: Default::default(),
        limits: Limits::default(),
    }
}

fn call(min_version: Option<Version>) -> ChooseCall {
    let (reply, _) = async_channel::bounded(1);
    ChooseCall {
        target: "advisor".into(),
        prefix: None,
        deadline: Millis(600_000),
        kind: WorkKind::Samples,
        class: "train".to_owned(),
        excluded: Vec::new(),
        min_version,
        previous_failure: None,
        reply,
    }
}

#[test]
fn a_sample_is_held_until_its_version_is_served() {
    let mut holds = VersionHolds::default();
    let contract = contract(TrainerPreference::Staleness);
    assert!(holds.hold(Millis(0), &contract, OLD, call(NEW)).is_none());
    assert!(holds.take_due(Millis(20), |_| OLD).is_empty());
    assert_eq!(holds.take_due(Millis(40), |_| NEW).len(), 1);
    assert!(holds.take_due(Millis(60), |_| NEW).is_empty());
}

#[test]
fn a_hold_ends_after_a_second_whatever_is_served() {
    let mut holds = VersionHolds::default();
    let contract = contract(TrainerPreference::Staleness);
    assert!(holds.hold(Millis(0), &contract, OLD, call(NEW)).is_none());
    assert!(holds.take_due(Millis(999), |_| OLD).is_empty());
    assert_eq!(holds.take_due(Millis(1000), |_| OLD).len(), 1);
}

#[test]
fn nothing_else_is_held() {
    let mut holds = VersionHolds::default();
    let stale = contract(TrainerPreference::Staleness);
    let idle = contract(TrainerPreference::Idle);
    let mut again = call(NEW);
    again.previous_failure = Some(PreviousFailure {
        error: ErrorKind::Leaving,
        attempts: 1,
        retry_after: Millis::ZERO,
    });
    assert!(holds.hold(Millis(0), &idle, OLD, call(NEW)).is_some());
    assert!(holds.hold(Millis(0), &stale, NEW, call(NEW)).is_some());
    assert!(holds.hold(Millis(0), &stale, OLD, call(None)).is_some());
    assert!(holds.hold(Millis(0), &stale, OLD, again).is_some());
}
