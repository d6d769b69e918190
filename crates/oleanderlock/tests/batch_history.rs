//! Work of the leader for an item, with much and with little history: ended jobs, and results that are
//! kept.
//!
//! Each figure is the shortest of several rounds, so that other processes on the machine don't count.

#[allow(dead_code)]
mod batch_support;

use batch_support::{MODEL, POLICY, SERVICE, step};
use indexmap::IndexMap;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::result_chunk::ResultChunk;
use oleanderlock::batch::result_log::ResultLog;
use oleanderlock::batch::sample::Sample;
use oleanderlock::batch::sample_end::SampleEnd;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::prelude::*;
use std::time::{Duration, Instant};

/// Most times that work may take with much history, as a multiple of that with little. The sizes of the
/// histories differ by a hundred times and more.
const RATIO_MAX: u32 = 4;
/// Rounds of which the shortest counts.
const ROUNDS: usize = 20;
const AGENTS: usize = 40;

/// Returns the time of the shortest round of `work`.
fn shortest(mut work: impl FnMut()) -> Duration {
    let rounds = (0..ROUNDS).map(|_| {
        let began = Instant::now();
        work();
        began.elapsed()
    });
    rounds.min().expect("a round")
}

fn assert_level(little: Duration, much: Duration) {
    assert!(
        much < little * RATIO_MAX,
        "{little:?} with little history, {much:?} with much"
    );
}

fn job(number: usize) -> Job {
    Job {
        id: format!("job-{number}"),
        ..step(8, 4, |_| Some(100))
    }
}

fn report(agent: usize) -> AgentReport {
    AgentReport {
        agent: format!("agent-{agent}"),
        service: Some(SERVICE.to_owned()),
        slots: 1,
        weights: IndexMap::from([(MODEL.to_owned(), 1)]),
        ..AgentReport::default()
    }
}

/// Returns the time of a report with the decisions after it, with `ended` ended jobs and a version that
/// no engine has loaded.
fn decision_time(ended: usize) -> Duration {
    let mut scheduler = Scheduler::new(SchedulerConfig::default());
    for number in 0..=ended {
        scheduler.accept(job(number), POLICY.clone(), Millis::ZERO);
        if number < ended {
            scheduler.end(&format!("job-{number}"));
        }
    }
    for agent in 0..AGENTS {
        scheduler.apply_report(Millis(1), report(agent));
    }
    scheduler.set_target_version(MODEL, 2);
    shortest(|| {
        for _ in 0..20 {
            scheduler.apply_report(Millis(2), report(0));
            scheduler.assign(Millis(2));
            scheduler.plan_loads(Millis(2));
            scheduler.recalls(Millis(2));
        }
    })
}

#[test]
fn a_decision_costs_no_more_after_many_ended_jobs() {
    assert_level(decision_time(10), decision_time(3000));
}

fn sample(job: usize, item: usize) -> Sample {
    Sample {
        key: ItemKey {
            job: format!("job-{job}"),
            item: format!("item-{item}"),
        },
        end: SampleEnd::Done {
            text: "x".repeat(100).as_str().into(),
            versions: vec![1],
            score: None,
        },
    }
}

/// Lists results as one chunk.
fn list(log: &mut ResultLog, samples: Vec<Sample>) {
    let chunk = ResultChunk {
        index: log.next_chunk_index().max(1),
        writer: "w".to_owned(),
        written_unix_ms: 0,
        samples,
    };
    assert!(log.apply(&chunk));
}

/// Returns the time in which results of a job that has `kept` of them are listed, looked up, and taken
/// back into memory beyond the budget.
fn listing_time(kept: usize) -> Duration {
    let mut log = ResultLog::with_budget(1);
    list(&mut log, (0..kept).map(|item| sample(0, item)).collect());
    let mut next = kept;
    let mut chunk = log.next_chunk_index();
    shortest(|| {
        let new = ResultChunk {
            index: chunk,
            writer: "w".to_owned(),
            written_unix_ms: 0,
            samples: (next..next + 20).map(|item| sample(0, item)).collect(),
        };
        assert!(log.apply(&new));
        assert!(new.samples.iter().all(|sample| log.is_listed(&sample.key)));
        log.reload(&new);
        next += 20;
        chunk += 1;
    })
}

#[test]
fn listing_a_result_costs_no_more_in_a_job_with_many() {
    assert_level(listing_time(100), listing_time(20_000));
}

/// Returns the time in which 20 jobs are removed while `kept` others have results, and the chunks that
/// are needed are looked up.
fn removal_time(kept: usize) -> Duration {
    let mut log = ResultLog::default();
    for number in 0..kept {
        list(&mut log, (0..20).map(|item| sample(number, item)).collect());
    }
    let mut first = kept;
    shortest(|| {
        for number in first..first + 20 {
            list(&mut log, vec![sample(number, 0)]);
        }
        for number in first..first + 20 {
            log.remove_job(&format!("job-{number}"));
        }
        first += 20;
    })
}

#[test]
fn removing_a_job_costs_no_more_while_many_are_kept() {
    assert_level(removal_time(10), removal_time(2000));
}

// A removed job leaves nothing that counts as needed or in memory.
#[test]
fn chunks_are_needed_while_a_result_of_them_is() {
    let mut log = ResultLog::default();
    list(&mut log, vec![sample(0, 0), sample(1, 0)]);
    list(&mut log, vec![sample(1, 1)]);
    log.remove_job("job-1");
    assert!(log.is_needed(1));
    assert!(!log.is_needed(2));
    log.remove_job("job-0");
    assert!(!log.is_needed(1));
    assert_eq!(log.loaded_bytes(), 0);
}
