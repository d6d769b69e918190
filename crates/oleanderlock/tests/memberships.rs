//! Membership: direct evidence goes before the list, and faults of the observer remove nobody.

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use oleanderlock::member::MemberState;
use oleanderlock::membership::{Listed, MemberAction, Membership};
use oleanderlock::membership_config::MembershipConfig;
use oleanderlock::prelude::*;

const SEEDS: std::ops::Range<u64> = 1..201;
const TICK_MS: u64 = 500;
const JITTER: u64 = 500;

fn name(at: usize) -> String {
    format!("agent-{at}")
}

fn list(count: usize) -> Vec<Listed> {
    (0..count)
        .map(|at| Listed {
            name: name(at),
            domain: format!("d{}", at % 4),
            leaving: false,
        })
        .collect()
}

/// A view of `count` instances, all heard at time zero.
fn view(count: usize) -> Membership {
    let mut view = Membership::new(MembershipConfig::default());
    view.on_list(Millis(0), &list(count));
    view.tick(Millis(0), JITTER);
    hear(&mut view, 0, 0..count);
    view
}

fn hear(view: &mut Membership, now: u64, heard: std::ops::Range<usize>) {
    for at in heard {
        view.on_heard(Millis(now), &name(at), Incarnation(1));
    }
}

fn state(view: &Membership, at: usize) -> MemberState {
    view.get(&name(at)).expect("known").state
}

/// Ticks from `from` to `to` while only `heard` speak; returns the most probes in one tick.
fn run(view: &mut Membership, from: u64, to: u64, heard: std::ops::Range<usize>) -> usize {
    let mut most = 0;
    for now in (from..=to).step_by(TICK_MS as usize) {
        hear(view, now, heard.clone());
        let actions = view.tick(Millis(now), JITTER);
        let probes = actions
            .iter()
            .filter(|a| matches!(a, MemberAction::Probe { .. }));
        most = most.max(probes.count());
    }
    most
}

#[test]
fn silence_is_suspected_then_gone_and_a_message_ends_both() {
    let mut view = view(3);
    run(&mut view, TICK_MS, 3000, 1..3);
    assert_eq!(state(&view, 0), MemberState::Suspected);
    assert_eq!(view.usable().count(), 2);
    run(&mut view, 3500, 10_500, 1..3);
    assert_eq!(state(&view, 0), MemberState::Gone);
    hear(&mut view, 11_000, 0..1);
    assert_eq!(state(&view, 0), MemberState::There);
}

#[test]
fn a_leaving_instance_is_not_used_though_the_list_still_names_it() {
    let mut view = view(2);
    view.on_leaving(Millis(10), &name(0), Incarnation(1));
    view.on_list(Millis(20), &list(2));
    hear(&mut view, 30, 0..2);
    view.tick(Millis(40), JITTER);
    assert_eq!(state(&view, 0), MemberState::Leaving);
    // A restarted instance takes work again; a late message of the earlier start changes nothing.
    view.on_heard(Millis(50), &name(0), Incarnation(2));
    assert_eq!(state(&view, 0), MemberState::There);
    view.on_leaving(Millis(60), &name(0), Incarnation(1));
    assert_eq!(state(&view, 0), MemberState::There);
}

#[test]
fn the_list_marks_leaving_and_adds_what_was_never_heard() {
    let mut view = view(2);
    let mut rows = list(3);
    rows[1].leaving = true;
    view.on_list(Millis(100), &rows);
    assert_eq!(state(&view, 1), MemberState::Leaving);
    assert_eq!(state(&view, 2), MemberState::There);
}

#[test]
fn the_list_alone_removes_nobody_that_speaks() {
    let mut view = view(3);
    view.on_list(Millis(100), &list(2));
    run(&mut view, TICK_MS, 8000, 0..3);
    assert_eq!(state(&view, 2), MemberState::There);
    run(&mut view, 8500, 12_000, 0..2);
    assert_eq!(view.get(&name(2)), None);
}

#[test]
fn a_broken_link_is_evidence_at_once() {
    let mut view = view(2);
    view.on_link_broken(Millis(10), &name(0));
    assert_eq!(state(&view, 0), MemberState::Suspected);
    let actions = view.tick(Millis(20), JITTER);
    assert_eq!(actions, [MemberAction::Probe { name: name(0) }]);
}

#[test]
fn a_paused_observer_counts_its_pause_against_nobody() {
    let mut view = view(20);
    run(&mut view, TICK_MS, 2000, 0..20);
    let actions = view.tick(Millis(600_000), JITTER);
    assert_eq!(actions, []);
    assert_eq!(view.usable().count(), 20);
    // After the pause silence counts again.
    run(&mut view, 600_500, 604_000, 0..10);
    assert_eq!(view.usable().count(), 10);
}

#[test]
fn an_observer_that_hears_nobody_removes_nobody() {
    let mut view = view(20);
    run(&mut view, TICK_MS, 120_000, 0..0);
    assert!((0..20).all(|at| state(&view, at) == MemberState::Suspected));
    run(&mut view, 120_500, 121_000, 0..20);
    assert_eq!(view.usable().count(), 20);
}

#[test]
fn a_lost_failure_domain_starts_no_storm_and_a_healed_one_settles() {
    let mut view = view(200);
    let limit = MembershipConfig::default().probes_per_tick;
    let most = run(&mut view, TICK_MS, 60_000, 0..150);
    assert_eq!(most, limit);
    assert_eq!(view.usable().count(), 150);
    assert!((150..200).all(|at| state(&view, at) == MemberState::Gone));
    // The domain answers probes again: its instances are back within seconds.
    let mut back_at = 0;
    for now in (60_500..90_000).step_by(TICK_MS as usize) {
        // Who was reached speaks again.
        for at in (0..200)
            .filter(|at| state(&view, *at) == MemberState::There)
            .collect::<Vec<_>>()
        {
            hear(&mut view, now, at..at + 1);
        }
        for action in view.tick(Millis(now), JITTER) {
            if let MemberAction::Probe { name } = action {
                view.on_heard(Millis(now + 1), &name, Incarnation(1));
            }
        }
        if back_at == 0 && view.usable().count() == 200 {
            back_at = now;
        }
    }
    assert!((60_500..=70_000).contains(&back_at), "back at {back_at}");
}

#[test]
fn the_table_is_bounded() {
    let mut view = Membership::new(MembershipConfig::default());
    view.on_list(Millis(0), &list(5000));
    assert_eq!(view.usable().count(), 4096);
    view.on_heard(Millis(1), "one more", Incarnation(1));
    assert_eq!(view.get("one more"), None);
}

fn step(u: &mut Unstructured<'_>, view: &mut Membership, now: &mut u64) -> arbitrary::Result<()> {
    let count = 8;
    let at = u.choose_index(count)?;
    let incarnation = Incarnation(u.int_in_range(1..=3)?);
    let before = view.get(&name(at)).cloned();
    match u.int_in_range(0..=6)? {
        0 => drop(view.on_list(Millis(*now), &list(u.int_in_range(0..=count)?))),
        1 => {
            view.on_leaving(Millis(*now), &name(at), incarnation);
        }
        2 => drop(view.on_link_broken(Millis(*now), &name(at))),
        3 | 4 => {
            view.on_heard(Millis(*now), &name(at), incarnation);
            let after = view.get(&name(at));
            let same = |member: &oleanderlock::member::Member| {
                before
                    .as_ref()
                    .is_some_and(|b| b.incarnation == member.incarnation)
            };
            let left = before
                .as_ref()
                .is_some_and(|b| b.state == MemberState::Leaving);
            let back = after.is_some_and(|m| same(m) && m.state == MemberState::There);
            assert!(
                !(left && back),
                "a leaving instance came back without a restart"
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
fn any_history_ends_with_all_that_speak() {
    for seed in SEEDS {
        arbtest(|u| {
            let mut view = Membership::new(MembershipConfig::default());
            let mut now = 0;
            for _ in 0..100 {
                step(u, &mut view, &mut now)?;
            }
            view.on_list(Millis(now), &list(8));
            for at in 0..8 {
                view.on_heard(Millis(now), &name(at), Incarnation(1000 + seed));
            }
            assert_eq!(view.usable().count(), 8);
            Ok(())
        })
        .seed(seed << 32 | 16_384)
        .run();
    }
}
