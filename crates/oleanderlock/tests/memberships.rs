//! Membership: direct evidence takes precedence over the platform's list, and a fault of the
//! observer removes no instance.

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use oleanderlock::member_action::MemberAction;
use oleanderlock::member_listing::MemberListing;
use oleanderlock::member_state::MemberState;
use oleanderlock::membership::Membership;
use oleanderlock::membership_config::MembershipConfig;
use oleanderlock::prelude::*;

const SEEDS: std::ops::Range<u64> = 1..201;
const TICK_MS: u64 = 500;
const JITTER: u64 = 500;

fn name(index: usize) -> String {
    format!("agent-{index}")
}

fn list(count: usize) -> Vec<MemberListing> {
    (0..count)
        .map(|index| MemberListing {
            name: name(index),
            domain: format!("d{}", index % 4),
            leaving: false,
        })
        .collect()
}

/// Returns a view of `count` instances that all sent a message at time zero.
fn view(count: usize) -> Membership {
    let mut view = Membership::new(MembershipConfig::default());
    view.on_list(Millis(0), &list(count));
    view.tick(Millis(0), JITTER);
    send_messages(&mut view, 0, 0..count);
    view
}

fn send_messages(view: &mut Membership, now: u64, senders: std::ops::Range<usize>) {
    for index in senders {
        view.on_message(Millis(now), &name(index), Incarnation(1));
    }
}

fn state(view: &Membership, index: usize) -> MemberState {
    view.get(&name(index)).expect("the instance is known").state
}

/// Ticks from `from` to `to` while only `senders` send messages; returns the most probes in one
/// tick.
fn run(view: &mut Membership, from: u64, to: u64, senders: std::ops::Range<usize>) -> usize {
    let mut most = 0;
    for now in (from..=to).step_by(TICK_MS as usize) {
        send_messages(view, now, senders.clone());
        let actions = view.tick(Millis(now), JITTER);
        let probes = actions
            .iter()
            .filter(|a| matches!(a, MemberAction::Probe { .. }));
        most = most.max(probes.count());
    }
    most
}

/// Operators match these names in logs.
#[test]
fn state_names_are_stable() {
    let states = [
        MemberState::Available,
        MemberState::Leaving,
        MemberState::Suspected,
        MemberState::Gone,
    ];
    for (state, name) in states
        .into_iter()
        .zip(["there", "leaving", "suspected", "gone"])
    {
        assert_eq!(state.to_string(), name);
        assert_eq!(<&str>::from(state), name);
        assert_eq!(name.parse(), Ok(state));
        let json = serde_json::to_string(&state).expect("a plain variant");
        assert_eq!(json, format!("\"{name}\""));
    }
}

#[test]
fn silent_instance_is_suspected_then_gone_until_its_next_message() {
    let mut view = view(3);
    run(&mut view, TICK_MS, 3000, 1..3);
    assert_eq!(state(&view, 0), MemberState::Suspected);
    assert_eq!(view.usable().count(), 2);
    run(&mut view, 3500, 10_500, 1..3);
    assert_eq!(state(&view, 0), MemberState::Gone);
    send_messages(&mut view, 11_000, 0..1);
    assert_eq!(state(&view, 0), MemberState::Available);
}

#[test]
fn leaving_instance_is_not_used_while_still_listed() {
    let mut view = view(2);
    view.on_leaving(Millis(10), &name(0), Incarnation(1));
    view.on_list(Millis(20), &list(2));
    send_messages(&mut view, 30, 0..2);
    view.tick(Millis(40), JITTER);
    assert_eq!(state(&view, 0), MemberState::Leaving);
    // A restarted instance takes work again; a late message from before the restart is ignored.
    view.on_message(Millis(50), &name(0), Incarnation(2));
    assert_eq!(state(&view, 0), MemberState::Available);
    view.on_leaving(Millis(60), &name(0), Incarnation(1));
    assert_eq!(state(&view, 0), MemberState::Available);
}

#[test]
fn list_marks_leaving_instances_and_adds_silent_ones() {
    let mut view = view(2);
    let mut rows = list(3);
    rows[1].leaving = true;
    view.on_list(Millis(100), &rows);
    assert_eq!(state(&view, 1), MemberState::Leaving);
    assert_eq!(state(&view, 2), MemberState::Available);
}

#[test]
fn unlisted_instance_stays_while_it_sends_messages() {
    let mut view = view(3);
    view.on_list(Millis(100), &list(2));
    run(&mut view, TICK_MS, 8000, 0..3);
    assert_eq!(state(&view, 2), MemberState::Available);
    run(&mut view, 8500, 12_000, 0..2);
    assert_eq!(view.get(&name(2)), None);
}

#[test]
fn broken_link_is_suspected_at_once() {
    let mut view = view(2);
    view.on_link_down(Millis(10), &name(0));
    assert_eq!(state(&view, 0), MemberState::Suspected);
    let actions = view.tick(Millis(20), JITTER);
    assert_eq!(actions, [MemberAction::Probe { name: name(0) }]);
}

#[test]
fn pause_of_the_observer_does_not_count_as_silence() {
    let mut view = view(20);
    run(&mut view, TICK_MS, 2000, 0..20);
    let actions = view.tick(Millis(600_000), JITTER);
    assert_eq!(actions, []);
    assert_eq!(view.usable().count(), 20);
    // Silence after the pause counts again.
    run(&mut view, 600_500, 604_000, 0..10);
    assert_eq!(view.usable().count(), 10);
}

#[test]
fn isolated_observer_removes_no_instance() {
    let mut view = view(20);
    run(&mut view, TICK_MS, 120_000, 0..0);
    assert!((0..20).all(|index| state(&view, index) == MemberState::Suspected));
    run(&mut view, 120_500, 121_000, 0..20);
    assert_eq!(view.usable().count(), 20);
}

#[test]
fn probes_of_a_lost_failure_domain_are_limited_and_find_it_again() {
    let mut view = view(200);
    let limit = MembershipConfig::default().probes_per_tick;
    let most = run(&mut view, TICK_MS, 60_000, 0..150);
    assert_eq!(most, limit);
    assert_eq!(view.usable().count(), 150);
    assert!((150..200).all(|index| state(&view, index) == MemberState::Gone));
    // Once the domain answers probes again, its instances are back within 10 seconds.
    let mut back_at = 0;
    for now in (60_500..90_000).step_by(TICK_MS as usize) {
        // Instances that were reached send messages again.
        for index in (0..200)
            .filter(|index| state(&view, *index) == MemberState::Available)
            .collect::<Vec<_>>()
        {
            send_messages(&mut view, now, index..index + 1);
        }
        for action in view.tick(Millis(now), JITTER) {
            if let MemberAction::Probe { name } = action {
                view.on_message(Millis(now + 1), &name, Incarnation(1));
            }
        }
        if back_at == 0 && view.usable().count() == 200 {
            back_at = now;
        }
    }
    assert!((60_500..=70_000).contains(&back_at), "back at {back_at}");
}

#[test]
fn table_is_bounded() {
    let mut view = Membership::new(MembershipConfig::default());
    view.on_list(Millis(0), &list(5000));
    assert_eq!(view.usable().count(), 4096);
    view.on_message(Millis(1), "one more", Incarnation(1));
    assert_eq!(view.get("one more"), None);
}

fn step(u: &mut Unstructured<'_>, view: &mut Membership, now: &mut u64) -> arbitrary::Result<()> {
    let count = 8;
    let index = u.choose_index(count)?;
    let incarnation = Incarnation(u.int_in_range(1..=3)?);
    let before = view.get(&name(index)).cloned();
    match u.int_in_range(0..=6)? {
        0 => drop(view.on_list(Millis(*now), &list(u.int_in_range(0..=count)?))),
        1 => {
            view.on_leaving(Millis(*now), &name(index), incarnation);
        }
        2 => drop(view.on_link_down(Millis(*now), &name(index))),
        3 | 4 => {
            view.on_message(Millis(*now), &name(index), incarnation);
            let after = view.get(&name(index));
            let same = |member: &oleanderlock::member::Member| {
                before
                    .as_ref()
                    .is_some_and(|b| b.incarnation == member.incarnation)
            };
            let left = before
                .as_ref()
                .is_some_and(|b| b.state == MemberState::Leaving);
            let back = after.is_some_and(|m| same(m) && m.state == MemberState::Available);
            assert!(
                !(left && back),
                "{} became available again without a restart",
                name(index)
            );
        }
        _ => {
            *now += u.int_in_range(1..=4000)?;
            let probes = view.tick(Millis(*now), u.int_in_range(0..=1000)?);
            let probes = probes
                .iter()
                .filter(|a| matches!(a, MemberAction::Probe { .. }));
            assert!(probes.count() <= MembershipConfig::default().probes_per_tick);
        }
    }
    Ok(())
}

#[test]
fn any_history_ends_with_all_instances_that_send_messages() {
    for seed in SEEDS {
        arbtest(|u| {
            let mut view = Membership::new(MembershipConfig::default());
            let mut now = 0;
            for _ in 0..100 {
                step(u, &mut view, &mut now)?;
            }
            view.on_list(Millis(now), &list(8));
            for index in 0..8 {
                view.on_message(Millis(now), &name(index), Incarnation(1000 + seed));
            }
            assert_eq!(view.usable().count(), 8);
            Ok(())
        })
        .seed(seed << 32 | 16_384)
        .run();
    }
}
