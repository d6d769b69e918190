//! Unit tests of single rules of the endpoint choice.

use oleanderlock::attempt_end::AttemptEnd;
use oleanderlock::choice_request::ChoiceRequest;
use oleanderlock::ejection::EjectReason;
use oleanderlock::endpoint::{EndpointInfo, EndpointKey, EndpointReport, EndpointState, Proximity};
use oleanderlock::endpoint_choice::{ChoiceAction, ChoiceConfig, EndpointChoice};
use oleanderlock::load::Load;
use oleanderlock::policy::Policy;
use oleanderlock::prelude::*;
use oleanderlock::trainer_preference::TrainerPreference;
use strum::VariantArray;

/// Slots of each endpoint.
const CAPACITY: u32 = 8;

fn report(running: u32, version: u64) -> EndpointReport {
    EndpointReport {
        state: EndpointState::Serving,
        load: Load {
            running,
            queued: 0,
            capacity: CAPACITY,
            wait: Millis::ZERO,
        },
        version: Some(Version(version)),
    }
}

fn choice(policy: Policy, proximities: &[Proximity]) -> (EndpointChoice, Vec<EndpointKey>) {
    let mut choice = EndpointChoice::new(ChoiceConfig { policy });
    let keys = proximities.iter().enumerate().map(|(index, proximity)| {
        let info = EndpointInfo {
            identity: 1 + index as u64,
            proximity: *proximity,
            targets: vec!["advisor".into()],
        };
        let key = choice.insert(Millis::ZERO, info);
        choice.apply_report(Millis::ZERO, key, report(0, 1));
        key
    });
    let keys = keys.collect();
    (choice, keys)
}

fn request(draw: u64) -> ChoiceRequest<'static> {
    ChoiceRequest {
        target: b"advisor",
        prefix: None,
        deadline: Millis(1_000_000),
        kind: WorkKind::Interactive,
        preference: TrainerPreference::Idle,
        excluded: &[],
        draw,
    }
}

/// Returns how often each key is chosen in `count` choices with different random numbers.
fn tally(choice: &mut EndpointChoice, now: u64, keys: &[EndpointKey], count: u64) -> Vec<u64> {
    let mut counts = vec![0; keys.len()];
    for draw in 0..count {
        let draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let chosen = choice
            .choose(Millis(now), &request(draw))
            .expect("an endpoint accepts work");
        counts[keys
            .iter()
            .position(|key| *key == chosen)
            .expect("the endpoint is listed")] += 1;
    }
    counts
}

#[test]
fn no_policy_chooses_an_endpoint_that_accepts_no_work() {
    for policy in Policy::VARIANTS {
        let (mut choice, keys) = choice(*policy, &[Proximity::Domain; 5]);
        let mut leaving = report(0, 1);
        leaving.state = EndpointState::Leaving;
        choice.apply_report(Millis(1), keys[0], leaving);
        leaving.state = EndpointState::Quarantined;
        choice.apply_report(Millis(1), keys[1], leaving);
        choice.set_suspected(keys[2], true);
        choice.remove(keys[3]);
        let counts = tally(&mut choice, 1, &keys, 50);
        assert_eq!(counts, [0, 0, 0, 0, 50], "{policy}");
        let excluded = ChoiceRequest {
            excluded: &keys[4..],
            ..request(7)
        };
        assert_eq!(choice.choose(Millis(1), &excluded), None, "{policy}");
        let unknown = ChoiceRequest {
            target: b"other",
            ..request(7)
        };
        assert_eq!(choice.choose(Millis(1), &unknown), None, "{policy}");
    }
}

#[test]
fn key_of_a_removed_endpoint_is_not_reused() {
    let (mut choice, keys) = choice(Policy::Product, &[Proximity::Domain; 2]);
    choice.remove(keys[0]);
    let info = EndpointInfo {
        identity: 9,
        proximity: Proximity::Domain,
        targets: vec!["advisor".into()],
    };
    let new = choice.insert(Millis(1), info);
    choice.record_start(Millis(1), keys[0]);
    assert_ne!(new, keys[0]);
    assert_eq!(choice.in_flight(new), 0);
}

#[test]
fn a_report_is_corrected_by_what_was_started_and_has_ended_since() {
    let (mut choice, keys) = choice(Policy::Product, &[Proximity::Domain; 2]);
    choice.apply_report(Millis(0), keys[0], report(4, 1));
    choice.apply_report(Millis(0), keys[1], report(5, 1));
    assert_eq!(tally(&mut choice, 1, &keys, 20), [20, 0]);
    choice.record_start(Millis(1), keys[0]);
    choice.record_start(Millis(1), keys[0]);
    assert_eq!(tally(&mut choice, 2, &keys, 20), [0, 20]);
    choice.apply_report(Millis(3), keys[0], report(6, 1));
    choice.record_end(Millis(4), keys[0], AttemptEnd::Finished);
    choice.record_end(Millis(4), keys[0], AttemptEnd::Finished);
    assert_eq!(tally(&mut choice, 5, &keys, 20), [20, 0]);
}

#[test]
fn a_report_from_before_the_last_starts_does_not_hide_them() {
    let (mut choice, keys) = choice(Policy::Product, &[Proximity::Domain; 2]);
    for _ in 0..4 {
        choice.record_start(Millis(1), keys[0]);
    }
    choice.apply_report(Millis(2), keys[0], report(0, 1));
    choice.apply_report(Millis(2), keys[1], report(2, 1));
    assert_eq!(tally(&mut choice, 3, &keys, 20), [0, 20]);
}

#[test]
fn nearer_endpoints_are_preferred_and_others_take_the_overflow() {
    let all = [Proximity::Domain, Proximity::Region, Proximity::Remote];
    let (mut choice, keys) = choice(Policy::Product, &all);
    assert_eq!(tally(&mut choice, 1, &keys, 20), [20, 0, 0]);
    choice.apply_report(Millis(2), keys[0], report(CAPACITY, 1));
    assert_eq!(tally(&mut choice, 2, &keys, 20), [0, 20, 0]);
    choice.apply_report(Millis(3), keys[1], report(CAPACITY, 1));
    let counts = tally(&mut choice, 3, &keys, 20);
    assert!(counts[2] > 0, "requests by endpoint: {counts:?}");
}

#[test]
fn an_endpoint_whose_wait_exceeds_the_deadline_is_avoided() {
    let (mut choice, keys) = choice(Policy::Product, &[Proximity::Domain; 2]);
    let mut slow = report(0, 1);
    slow.load.wait = Millis(2_000_000);
    choice.apply_report(Millis(0), keys[0], slow);
    assert_eq!(tally(&mut choice, 1, &keys, 20), [0, 20]);
}

#[test]
fn samples_of_a_contract_that_prefers_staleness_go_to_the_newest_version() {
    let (mut choice, keys) = choice(Policy::Product, &[Proximity::Domain; 4]);
    choice.apply_report(Millis(1), keys[2], report(6, 2));
    for draw in 0..20 {
        let fresh = ChoiceRequest {
            kind: WorkKind::Samples,
            preference: TrainerPreference::Staleness,
            ..request(draw)
        };
        assert_eq!(choice.choose(Millis(1), &fresh), Some(keys[2]));
        let idle = ChoiceRequest {
            preference: TrainerPreference::Idle,
            ..fresh
        };
        assert_ne!(choice.choose(Millis(1), &idle), Some(keys[2]));
    }
}

/// Finishes `count` attempts of 10 tokens at each endpoint; `paces` are the milliseconds that an
/// attempt takes at each of them.
fn observe(choice: &mut EndpointChoice, now: u64, keys: &[EndpointKey], paces: &[u64], count: u64) {
    for _ in 0..count {
        for (key, pace) in keys.iter().zip(paces) {
            choice.record_start(Millis(now), *key);
            choice.record_pace(Millis(now), *key, Millis(*pace), 10);
            choice.record_end(Millis(now), *key, AttemptEnd::Finished);
        }
    }
}

#[test]
fn slow_endpoint_is_ejected_and_its_traffic_ramps_up_afterwards() {
    let (mut choice, keys) = choice(Policy::Product, &[Proximity::Domain; 5]);
    observe(&mut choice, 100, &keys, &[20, 20, 200, 20, 20], 5);
    let ejected = [ChoiceAction::Eject(keys[2], EjectReason::Slow)];
    assert_eq!(choice.tick(Millis(100)), ejected);
    assert_eq!(tally(&mut choice, 101, &keys, 500)[2], 0);
    assert!(choice.is_ejected(Millis(5_000), keys[2]));
    let early = tally(&mut choice, 5_200, &keys, 2_000)[2];
    let late = tally(&mut choice, 14_000, &keys, 2_000)[2];
    assert!(early > 0 && early < 150, "{early} of 2000 requests");
    assert!(
        late > 2 * early,
        "{late} of 2000 requests after {early} of 2000"
    );
    observe(&mut choice, 14_000, &keys, &[20, 20, 200, 20, 20], 5);
    assert_eq!(choice.tick(Millis(14_000)), ejected);
    assert!(choice.is_ejected(Millis(23_000), keys[2]));
}

#[test]
fn an_endpoint_that_fails_or_falls_silent_is_ejected() {
    let (mut choice, keys) = choice(Policy::Product, &[Proximity::Domain; 6]);
    for _ in 0..3 {
        choice.record_start(Millis(1), keys[0]);
        choice.record_end(Millis(2), keys[0], AttemptEnd::Failed);
    }
    choice.record_start(Millis(10), keys[1]);
    for now in (500..=2_000).step_by(500) {
        observe(&mut choice, now, &keys[2..], &[20; 4], 1);
    }
    let actions = choice.tick(Millis(2_000));
    let failing = ChoiceAction::Eject(keys[0], EjectReason::Failing);
    let silent = ChoiceAction::Eject(keys[1], EjectReason::Silent);
    assert_eq!(actions, [failing, silent]);
}

#[test]
fn refusals_do_not_count_as_failures() {
    let (mut choice, keys) = choice(Policy::Product, &[Proximity::Domain; 3]);
    for _ in 0..10 {
        choice.record_start(Millis(1), keys[0]);
        choice.record_end(Millis(2), keys[0], AttemptEnd::Refused);
    }
    assert!(choice.tick(Millis(3)).is_empty());
}

#[test]
fn never_more_than_a_third_is_ejected() {
    let (mut choice, keys) = choice(Policy::Product, &[Proximity::Domain; 9]);
    for key in &keys {
        for _ in 0..3 {
            choice.record_start(Millis(1), *key);
            choice.record_end(Millis(2), *key, AttemptEnd::Failed);
        }
    }
    assert_eq!(choice.tick(Millis(3)).len(), 3);
    assert!(choice.tick(Millis(4)).is_empty());
    assert!(choice.choose(Millis(4), &request(1)).is_some());
}

#[test]
fn with_all_endpoints_unhealthy_one_is_still_chosen() {
    let (mut choice, keys) = choice(Policy::Product, &[Proximity::Domain; 3]);
    for _ in 0..3 {
        choice.record_start(Millis(1), keys[0]);
        choice.record_end(Millis(2), keys[0], AttemptEnd::Failed);
    }
    assert_eq!(choice.tick(Millis(3)).len(), 1);
    choice.remove(keys[1]);
    choice.remove(keys[2]);
    assert_eq!(choice.choose(Millis(4), &request(1)), Some(keys[0]));
}
