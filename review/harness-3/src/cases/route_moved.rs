//! The route of the batch jobs moves to another service, and later a worker of the old one breaks an answer off.

use crate::Verdict;
use crate::deployment::{CONFIG_BOUND, Deployment, config};
use crate::record::Record;
use crate::trainer::{Plan, Trainer};
use std::thread;
use std::time::Duration;

const SERVICES: [&str; 4] = ["lm", "lm", "lm-b", "lm-b"];
/// Workers of the service that the route led to.
const OLD: [usize; 2] = [0, 1];
/// Answers of a worker before the one that is broken off: at most 0.02 of them are, as the pages say.
const ANSWERS_MIN: usize = 49;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Events of each item of the step.
const EVENTS: u64 = 140;
/// Event within which the answer is broken off, 3.6 s after its run began.
const BREAK_AT_EVENT: u64 = 90;
/// When the configuration changes, after the step was asked.
const CHANGE_AFTER: Duration = Duration::from_millis(700);

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let started = Deployment::start(
        record,
        &config(1, Some("lm")),
        &["ma"],
        &SERVICES,
        EVENT_INTERVAL,
    );
    let Some(deployment) = started else {
        return Verdict::NotRun("the deployment was not ready in time".to_owned());
    };
    let trainer = |groups, events| Trainer {
        plan: Plan {
            model: "ma",
            groups,
            group_size: 4,
            events,
        },
        entries: deployment.entry_addrs(),
        store: deployment.store.clone(),
        record: record.clone(),
    };
    trainer(40, 3).step(0);
    let long = trainer(2, EVENTS);
    let step = thread::spawn(move || long.step(1));
    thread::sleep(CHANGE_AFTER);
    let runs_of = |n: usize| {
        let runs = deployment.engines[n].runs().into_iter();
        runs.filter(|run| run.id.starts_with("ma0001"))
            .collect::<Vec<_>>()
    };
    let candidates = OLD
        .into_iter()
        .filter(|n| deployment.engines[*n].runs().len() > ANSWERS_MIN);
    let Some((broken, run)) = candidates
        .filter_map(|n| Some((n, runs_of(n).first()?.clone())))
        .next()
    else {
        return Verdict::NotRun("no run to break off".to_owned());
    };
    deployment
        .store
        .put("config", "main", &config(2, Some("lm-b")));
    let acknowledged = record.now();
    record.line("the route leads to lm-b (version 2 of the configuration, acknowledged)");
    if trouble {
        record.line(&format!(
            "i-{broken} is to break off {} within event {BREAK_AT_EVENT}",
            run.id
        ));
        deployment.engines[broken].break_off(&run.id, BREAK_AT_EVENT);
    }
    step.join().expect("a trainer");
    let bound = acknowledged + CONFIG_BOUND;
    let late = OLD
        .into_iter()
        .flat_map(|n| runs_of(n).into_iter().map(move |run| (n, run)));
    let late: Vec<_> = late.filter(|(_, run)| run.began > bound).collect();
    for (n, run) in &late {
        let after = (run.began - acknowledged).as_millis();
        record.line(&format!(
            "i-{n} of lm was sent {} {after} ms after the acknowledgement",
            run.id
        ));
    }
    match late.first() {
        Some((n, run)) => {
            Verdict::Broken(format!("CONFIG: i-{n} of the old service runs {}", run.id))
        }
        None => Verdict::Held,
    }
}
