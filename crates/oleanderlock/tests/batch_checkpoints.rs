//! Checkpoints of runs: when they are used, and that a restored checkpoint is a prefix of the output
//! of a single run even if pages are lost or written late.

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use indexmap::IndexMap;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::checkpoint_log::{CheckpointLog, PAGE_SLOTS};
use oleanderlock::batch::checkpoint_page::CheckpointPage;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::job_item::JobItem;
use oleanderlock::batch::job_policy::JobPolicy;
use oleanderlock::batch::progress::Progress;
use oleanderlock::batch::run_part::RunPart;
use oleanderlock::batch::runner::Runner;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::prelude::*;
use oleanderlock::routing::route_target::RouteTarget;

const SERVICE: &str = "llm";

const MODEL: &str = "advisor";
/// Larger than any page of these tests.
const PAGE_BYTES: usize = 1 << 20;
const CASES: u64 = 400;
const ENTROPY_BYTES: u64 = 2048;

fn key(item: &str) -> ItemKey {
    ItemKey {
        job: "j".to_owned(),
        item: item.to_owned(),
    }
}

fn runner(process: u64) -> Runner {
    Runner {
        agent: "a".to_owned(),
        process,
    }
}

/// Text of the first `events` events of a run.
fn text(run: u64, events: u64) -> String {
    let events: Vec<String> = (1..=events).map(|event| format!("{run}:{event}")).collect();
    events.join("\n")
}

fn part(item: &str, run: u64, after_event: u64, last_event: u64) -> RunPart {
    let whole = text(run, last_event);
    RunPart {
        key: key(item),
        run,
        after_event,
        last_event,
        text: whole[text(run, after_event).len()..].to_owned(),
        versions: vec![1],
        software: None,
    }
}

fn report(process: u64, items: &[&str]) -> AgentReport {
    AgentReport {
        agent: "a".to_owned(),
        process,
        slots: 8,
        weights: IndexMap::from([(MODEL.to_owned(), 1)]),
        items: items.iter().map(|item| key(item).to_string()).collect(),
        service: Some(SERVICE.to_owned()),
        ..AgentReport::default()
    }
}

fn progress(run: u64, events: u64) -> Progress {
    Progress {
        last_event: events,
        text: text(run, events),
        versions: vec![1],
        software: None,
    }
}

#[test]
fn only_consecutive_parts_of_the_same_run_are_joined() {
    let mut log = CheckpointLog::default();
    assert!(!log.append(runner(1), part("x", 7, 5, 9)));
    assert!(log.append(runner(1), part("x", 7, 0, 9)));
    assert!(log.append(runner(1), part("x", 7, 9, 20)));
    // A gap, another run and another process.
    assert!(!log.append(runner(1), part("x", 7, 22, 30)));
    assert!(!log.append(runner(1), part("x", 8, 20, 30)));
    assert!(!log.append(runner(2), part("x", 7, 20, 30)));
    assert_eq!(log.remove(&key("x")), Some(progress(7, 20)));
}

#[test]
fn a_run_has_ended_if_its_agent_reports_without_it_or_from_another_process() {
    let mut log = CheckpointLog::default();
    log.append(runner(1), part("x", 7, 0, 20));
    log.append(runner(1), part("y", 8, 0, 20));
    assert_eq!(log.ended_runs(&report(1, &["x", "y"])), []);
    assert_eq!(log.ended_runs(&report(1, &["x"])), [key("y")]);
    assert_eq!(
        log.ended_runs(&report(2, &["x", "y"])),
        [key("x"), key("y")]
    );
    let other = AgentReport {
        agent: "b".to_owned(),
        ..report(2, &[])
    };
    assert_eq!(log.ended_runs(&other), []);
    // The agent no longer reports: its runs may continue unobserved.
    log.remove_agent("a");
    assert_eq!(log.ended_runs(&report(2, &[])), []);
}

#[test]
fn pages_hold_new_events_and_full_runs_before_the_ring_wraps() {
    let mut log = CheckpointLog::default();
    log.append(runner(1), part("x", 7, 0, 20));
    let mut last = 20;
    for number in 0..2 * PAGE_SLOTS {
        let page = log
            .next_page(3, PAGE_BYTES)
            .expect("new events are written to a page");
        log.confirm_page();
        assert_eq!((page.epoch, page.number), (3, number));
        let is_whole = |number: u64| number.is_multiple_of(PAGE_SLOTS - 1);
        assert_eq!(page.parts[0].1.after_event == 0, is_whole(number));
        // There is nothing new to write unless the first events are about to be overwritten.
        assert_eq!(log.next_page(3, PAGE_BYTES).is_some(), is_whole(number + 1));
        log.append(runner(1), part("x", 7, last, last + 10));
        last += 10;
    }
}

#[test]
fn a_page_that_was_not_written_is_rebuilt_under_its_number() {
    let mut log = CheckpointLog::default();
    log.append(runner(1), part("x", 7, 0, 20));
    let lost = log.next_page(1, PAGE_BYTES);
    log.append(runner(1), part("x", 7, 20, 30));
    let again = log
        .next_page(1, PAGE_BYTES)
        .expect("new events are written to a page");
    assert_eq!(lost.map(|page| page.number), Some(again.number));
    assert_eq!(again.parts[0].1, part("x", 7, 0, 30));
}

#[test]
fn runs_that_do_not_fit_into_a_page_are_in_the_next() {
    let mut log = CheckpointLog::default();
    for item in ["x", "y", "z"] {
        log.append(runner(1), part(item, 7, 0, 200));
    }
    let bytes = text(7, 200).len() * 3 / 2;
    let mut seen = Vec::new();
    while let Some(page) = log.next_page(1, bytes) {
        assert_eq!(page.parts.len(), 1);
        seen.extend(page.parts.into_iter().map(|(_, part)| part.key));
        log.confirm_page();
    }
    assert_eq!(seen, [key("x"), key("y"), key("z")]);
}

fn scheduler_with(items: &[&str]) -> Scheduler {
    let item = |id: &&str| JobItem {
        id: (*id).to_owned(),
        path: "/rollout/x".to_owned(),
        headers: Vec::new(),
        body_base64: String::new(),
        tokens: 1000,
        expected_tokens: None,
        group: "g".to_owned(),
        score_call: None,
    };
    let policy = JobPolicy {
        targets: vec![RouteTarget {
            service: SERVICE.to_owned(),
            weight: 1,
        }],
        attempts: 3,
        due_after: Millis(7500),
        keep: Millis(40_000),
        single_version: false,
        rank: 0,
        workspace_rank: None,
    };
    let job = Job {
        id: "j".to_owned(),
        host: "host".to_owned(),
        path: "/rollout/".to_owned(),
        submitted_unix_ms: 0,
        step: Some(1),
        model: MODEL.to_owned(),
        oldest_version: 1,
        groups_wanted: 1,
        items: items.iter().map(item).collect(),
        workspace: None,
    };
    let mut scheduler = Scheduler::new(SchedulerConfig::default());
    scheduler.accept(job, policy, Millis(0));
    scheduler
}

#[test]
fn items_of_a_restarted_agent_are_returned_at_once_and_resume() {
    let mut scheduler = scheduler_with(&["x"]);
    scheduler.apply_report(Millis(0), report(1, &[]));
    assert_eq!(scheduler.assign(Millis(0)).len(), 1);
    assert_eq!(
        scheduler.apply_report(Millis(100), report(1, &[])).returned,
        []
    );
    assert_eq!(
        scheduler.apply_report(Millis(200), report(2, &[])).returned,
        [key("x")]
    );
    scheduler.restore_progress(&key("x"), progress(7, 20));
    let assigned = scheduler.assign(Millis(200));
    assert_eq!(assigned[0].progress, Some(progress(7, 20)));
}

#[test]
fn a_running_item_ignores_progress_of_an_earlier_run() {
    let mut scheduler = scheduler_with(&["x"]);
    scheduler.apply_report(Millis(0), report(1, &[]));
    scheduler.assign(Millis(0));
    assert!(scheduler.is_assigned(&key("x")));
    scheduler.restore_progress(&key("x"), progress(7, 20));
    scheduler.return_item("a", &key("x"), None);
    assert_eq!(scheduler.assign(Millis(0))[0].progress, None);
}

#[test]
fn items_that_may_still_run_are_held_for_their_agent() {
    let mut scheduler = scheduler_with(&["x", "y", "z"]);
    for item in ["x", "y", "z"] {
        scheduler.hold(&key(item), Millis(800));
    }
    let other = AgentReport {
        agent: "b".to_owned(),
        ..report(5, &[])
    };
    scheduler.apply_report(Millis(0), other);
    assert_eq!(scheduler.assign(Millis(0)), []);
    // The agent still runs one of the items; the run of another has ended.
    scheduler.apply_report(Millis(100), report(1, &["x"]));
    scheduler.restore_progress(&key("y"), progress(7, 20));
    let assigned = scheduler.assign(Millis(100));
    let keys: Vec<&ItemKey> = assigned.iter().map(|one| &one.key).collect();
    assert_eq!(keys, [&key("y")]);
    // The third item is in no report, so its hold expires.
    assert_eq!(scheduler.assign(Millis(799)), []);
    assert_eq!(scheduler.assign(Millis(800))[0].key, key("z"));
}

/// A run as its agent sees it; `generated` and `reported` are numbers of events.
struct Run {
    item: &'static str,
    number: u64,
    generated: u64,
    reported: u64,
}

/// Applies random events: progress of runs, reports, lost and late page writes, restarts of runs and
/// of the leader. Then checks that each restored checkpoint is a prefix of the text of one run.
fn check_random(u: &mut Unstructured<'_>) -> Result<()> {
    let mut log = CheckpointLog::default();
    let mut ring: IndexMap<u64, CheckpointPage> = IndexMap::new();
    let mut late: Option<CheckpointPage> = None;
    let mut epoch = 1;
    let mut next_run = 3;
    let mut runs: Vec<Run> = [("x", 1), ("y", 2)]
        .map(|(item, number)| Run {
            item,
            number,
            generated: 0,
            reported: 0,
        })
        .into();
    for _ in 0..u.int_in_range(10..=60)? {
        match u.int_in_range(0..=9)? {
            0..=3 => {
                let run = &mut runs[u.int_in_range(0..=1)?];
                run.generated += u.int_in_range(1..=9)?;
                let reported = part(run.item, run.number, run.reported, run.generated);
                let taken = log.append(runner(1), reported);
                run.reported = if taken { run.generated } else { 0 };
            }
            4..=6 => {
                let Some(page) = log.next_page(epoch, PAGE_BYTES) else {
                    continue;
                };
                match u.int_in_range(0..=3)? {
                    // The write fails, its answer is lost, or it takes effect late.
                    0 => {}
                    1 => drop(ring.insert(page.number % PAGE_SLOTS, page)),
                    2 => late = Some(page),
                    _ => {
                        ring.insert(page.number % PAGE_SLOTS, page);
                        log.confirm_page();
                    }
                }
            }
            7 => {
                if let Some(page) = late.take() {
                    ring.insert(page.number % PAGE_SLOTS, page);
                }
            }
            8 => {
                let run = &mut runs[u.int_in_range(0..=1)?];
                (run.number, run.generated, run.reported) = (next_run, 0, 0);
                next_run += 1;
            }
            _ => {
                epoch += 1;
                log = CheckpointLog::restore(ring.values().cloned().collect(), |_| true);
            }
        }
    }
    let restored = CheckpointLog::restore(ring.into_values().collect(), |_| true);
    for (_, restored) in restored.iter() {
        let run = restored
            .text
            .split(':')
            .next()
            .and_then(|run| run.parse().ok());
        assert_eq!(
            restored.text,
            text(
                run.expect("the text starts with the number of its run"),
                restored.last_event
            )
        );
    }
    Ok(())
}

#[test]
fn a_restored_checkpoint_is_a_prefix_of_one_run_whatever_pages_are_lost() {
    for run in 0..CASES {
        let seed = run.wrapping_mul(0x9e37_79b9) << 32 | ENTROPY_BYTES;
        arbtest(check_random).seed(seed).run();
    }
}
