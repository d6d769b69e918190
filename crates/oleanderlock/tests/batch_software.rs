//! Interrupted runs while engines of two software versions serve one model: what one version has
//! generated can't be continued by the other.

mod batch_support;

use batch_support::{MODEL, POLICY, SERVICE, step};
use indexmap::IndexMap;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::progress::Progress;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::prelude::*;

/// Event interval of a fast engine, in microseconds.
const FAST_US: u64 = 20_000;
/// Event interval of a slow engine, in microseconds.
const SLOW_US: u64 = 90_000;

fn report(agent: &str, software: &str, event_us: u64, slots: usize) -> AgentReport {
    AgentReport {
        agent: agent.to_owned(),
        software: Some(software.to_owned()),
        slots,
        event_us,
        weights: IndexMap::from([(MODEL.to_owned(), 1)]),
        service: Some(SERVICE.to_owned()),
        ..AgentReport::default()
    }
}

/// Returns a report of an agent that holds these items.
fn with_items(mut report: AgentReport, items: &[ItemKey]) -> AgentReport {
    report.items = items.iter().map(ItemKey::to_string).collect();
    report
}

fn progress(software: &str) -> Progress {
    Progress {
        last_event: 7,
        text: "text".to_owned(),
        versions: vec![1],
        software: Some(software.to_owned()),
    }
}

/// Returns a scheduler with one item, which the agent "a" of version "v1" runs.
fn with_run(event_us: u64) -> (Scheduler, ItemKey) {
    let mut scheduler = Scheduler::new(SchedulerConfig::default());
    scheduler.apply_report(Millis(0), report("a", "v1", event_us, 8));
    scheduler.accept(step(1, 1, |_| None), POLICY.clone(), Millis(0));
    let assigned = scheduler.assign(Millis(0));
    assert_eq!(assigned.len(), 1);
    (scheduler, assigned[0].key.clone())
}

#[test]
fn progress_goes_to_a_busier_engine_of_its_version() {
    let (mut scheduler, key) = with_run(FAST_US);
    let other = ItemKey {
        job: "unknown".to_owned(),
        item: "unknown".to_owned(),
    };
    scheduler.apply_report(Millis(1), report("b", "v2", FAST_US, 8));
    scheduler.apply_report(
        Millis(1),
        with_items(report("c", "v1", SLOW_US, 8), &[other]),
    );
    scheduler.return_item("a", &key, Some(progress("v1")));
    let assigned = scheduler.assign(Millis(2));
    assert_eq!(assigned[0].agent, "c");
    assert_eq!(assigned[0].progress, Some(progress("v1")));
}

#[test]
fn progress_is_discarded_where_only_another_version_has_capacity() {
    let (mut scheduler, key) = with_run(FAST_US);
    scheduler.apply_report(Millis(1), report("a", "v1", FAST_US, 0));
    scheduler.apply_report(Millis(1), report("b", "v2", FAST_US, 8));
    scheduler.return_item("a", &key, Some(progress("v1")));
    let assigned = scheduler.assign(Millis(2));
    assert_eq!(assigned[0].agent, "b");
    assert_eq!(assigned[0].progress, None);
}

#[test]
fn progress_of_an_unknown_version_is_used_only_while_all_engines_have_the_same() {
    for (other, used) in [("v1", Some(progress("v1"))), ("v2", None)] {
        let (mut scheduler, key) = with_run(FAST_US);
        scheduler.apply_report(Millis(1), report("b", other, FAST_US, 0));
        let unknown = Progress {
            software: None,
            ..progress("v1")
        };
        scheduler.return_item("a", &key, Some(unknown));
        assert_eq!(scheduler.assign(Millis(2))[0].progress, used, "{other}");
    }
}

#[test]
fn long_runs_of_a_slow_engine_move_within_their_version_only() {
    for (software, moves) in [("v1", true), ("v2", false)] {
        let (mut scheduler, key) = with_run(SLOW_US);
        let held = |report| with_items(report, std::slice::from_ref(&key));
        scheduler.apply_report(Millis(4000), held(report("a", "v1", SLOW_US, 8)));
        scheduler.apply_report(Millis(4000), report("b", software, FAST_US, 8));
        let recalled = scheduler.recalls(Millis(4000));
        assert_eq!(!recalled.is_empty(), moves, "{software}");
    }
}

#[test]
fn short_runs_of_a_slow_engine_start_again_at_another_version() {
    let (mut scheduler, key) = with_run(SLOW_US);
    let held = with_items(report("a", "v1", SLOW_US, 8), std::slice::from_ref(&key));
    scheduler.apply_report(Millis(700), held);
    scheduler.apply_report(Millis(700), report("b", "v2", FAST_US, 8));
    assert_eq!(scheduler.recalls(Millis(700)).len(), 1);
    scheduler.return_item("a", &key, Some(progress("v1")));
    let assigned = scheduler.assign(Millis(701));
    assert_eq!(assigned[0].agent, "b");
    assert_eq!(assigned[0].progress, None);
}

#[test]
fn long_progress_waits_for_a_full_engine_of_its_version() {
    let mut scheduler = Scheduler::new(SchedulerConfig::default());
    scheduler.apply_report(Millis(0), report("a", "v1", FAST_US, 1));
    scheduler.accept(step(6, 1, |_| None), POLICY.clone(), Millis(0));
    // One item runs, one is prefetched.
    let key = scheduler.assign(Millis(0))[0].key.clone();
    let long = Progress {
        last_event: 100,
        ..progress("v1")
    };
    scheduler.apply_report(Millis(1), report("b", "v2", FAST_US, 1));
    scheduler.apply_report(Millis(1), report("c", "v1", FAST_US, 1));
    let others = scheduler.assign(Millis(1));
    assert_eq!(others.len(), 4);
    let ran_at_b = others.iter().find(|other| other.agent == "b");
    let ran_at_b = ran_at_b.expect("an item at b").key.clone();
    scheduler.return_item("a", &key, Some(long.clone()));
    let engine_down = AgentReport {
        leaving: true,
        ..report("a", "v1", FAST_US, 0)
    };
    scheduler.apply_report(Millis(2), engine_down);
    // The engine of the other version has a free slot, that of the own version has none.
    scheduler.finish(&ran_at_b);
    assert_eq!(scheduler.assign(Millis(2)), []);
    let at_c = others.iter().find(|other| other.agent == "c");
    let at_c = at_c.expect("an item at c").key.clone();
    let mut freed = scheduler.clone();
    freed.finish(&at_c);
    let assigned = freed.assign(Millis(500));
    assert_eq!(
        (assigned[0].agent.as_str(), &assigned[0].progress),
        ("c", &Some(long))
    );
    let assigned = scheduler.assign(Millis(1100));
    assert_eq!(
        (assigned[0].agent.as_str(), &assigned[0].progress),
        ("b", &None)
    );
}
