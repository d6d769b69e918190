//! Decisions cost by the open jobs, not by those that have ended: a leader decides with each report of an
//! agent, and keeps ended jobs for minutes.

mod batch_support;

use batch_support::{MODEL, POLICY, SERVICE, step};
use indexmap::IndexMap;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::job_policy::JobPolicy;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::prelude::*;
use oleanderlock::routing::route_target::RouteTarget;

/// Jobs that end in some minutes.
const ENDED_JOBS: usize = 2000;
const ENGINES: usize = 8;
const OTHER_MODEL: &str = "critic";

fn job(id: &str, model: &str) -> Job {
    Job {
        id: id.to_owned(),
        model: model.to_owned(),
        ..step(4, 2, |_| Some(100))
    }
}

// Guards against walks of all jobs in each report and each tick: the sets that are walked hold open jobs
// only.
#[test]
fn ended_jobs_are_not_among_those_that_are_walked() {
    let mut scheduler = Scheduler::new(SchedulerConfig::default());
    assert!(scheduler.accept(job("open", MODEL), POLICY.clone(), Millis(0)));
    let open_bytes = scheduler.open_bytes();
    for index in 0..ENDED_JOBS {
        let id = format!("ended-{index}");
        assert!(scheduler.accept(job(&id, MODEL), POLICY.clone(), Millis(0)));
        assert!(scheduler.open_bytes() > open_bytes);
        scheduler.end(&id);
    }
    let walked: Vec<&str> = scheduler.jobs().map(|job| job.id.as_str()).collect();
    assert_eq!(walked, ["open"]);
    assert_eq!(scheduler.open_bytes(), open_bytes);
    assert_eq!(scheduler.unfinished_items(), 4);
    let ended = scheduler.job("ended-0").expect("an ended job that is kept");
    assert!(ended.ended);
    let again = scheduler.accept(job("ended-0", MODEL), POLICY.clone(), Millis(0));
    assert!(!again, "an ended job is not accepted again");
    scheduler.remove_job("ended-0");
    assert!(scheduler.job("ended-0").is_none());
    scheduler.end("open");
    scheduler.remove_job("open");
    assert_eq!(scheduler.open_bytes(), 0);
    assert_eq!(scheduler.jobs().count(), 0);
}

/// Returns the engines of [`SERVICE`] in the set of [`OTHER_MODEL`]: those that get its next version.
fn engines_of_other_model(scheduler: &Scheduler) -> usize {
    let mut scheduler = scheduler.clone();
    scheduler.set_target_version(OTHER_MODEL, 2);
    scheduler.plan_loads(Millis(0)).len()
}

fn report(agent: String) -> AgentReport {
    AgentReport {
        agent,
        service: Some(SERVICE.to_owned()),
        slots: 2,
        weights: IndexMap::from([(MODEL.to_owned(), 1), (OTHER_MODEL.to_owned(), 1)]),
        ..AgentReport::default()
    }
}

// Guards against a change of the sets of engines when the last job of a model ends: ended jobs that are
// kept still show to which services a model leads.
#[test]
fn the_routes_of_ended_jobs_count_until_the_jobs_are_removed() {
    let mut scheduler = Scheduler::new(SchedulerConfig {
        concurrent_loads_min: ENGINES,
        ..SchedulerConfig::default()
    });
    let elsewhere = JobPolicy {
        targets: vec![RouteTarget {
            service: "other".to_owned(),
            weight: 1,
        }],
        ..POLICY.clone()
    };
    scheduler.accept(job("here", MODEL), POLICY.clone(), Millis(0));
    for id in ["first", "second"] {
        scheduler.accept(job(id, OTHER_MODEL), elsewhere.clone(), Millis(0));
    }
    for index in 0..ENGINES {
        scheduler.apply_report(Millis(0), report(format!("agent-{index}")));
    }
    let (few, half) = (1, ENGINES / 2);
    assert_eq!(engines_of_other_model(&scheduler), few);
    scheduler.end("first");
    scheduler.end("second");
    assert_eq!(engines_of_other_model(&scheduler), few);
    scheduler.remove_job("first");
    assert_eq!(engines_of_other_model(&scheduler), few, "one is left");
    scheduler.remove_job("second");
    assert_eq!(engines_of_other_model(&scheduler), half);
}
