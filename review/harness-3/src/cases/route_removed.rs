//! The route of a batch job is removed while most of its items wait.

use crate::Verdict;
use crate::deployment::{CONFIG_BOUND, Deployment, config};
use crate::record::Record;
use crate::trainer::{Plan, Trainer};
use std::thread;
use std::time::Duration;

/// When the configuration changes, after the step was asked.
const CHANGE_AFTER: Duration = Duration::from_millis(700);

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let started = Deployment::start(
        record,
        &config(1, Some("lm")),
        &["ma"],
        &["lm"; 2],
        Duration::from_millis(100),
    );
    let Some(deployment) = started else {
        return Verdict::NotRun("the deployment was not ready in time".to_owned());
    };
    let trainer = Trainer {
        plan: Plan {
            model: "ma",
            groups: 20,
            group_size: 4,
            events: 20,
        },
        entries: deployment.entry_addrs(),
        store: deployment.store.clone(),
        record: record.clone(),
    };
    let step = thread::spawn(move || trainer.step(0));
    thread::sleep(CHANGE_AFTER);
    let service = if trouble { None } else { Some("lm") };
    deployment.store.put("config", "main", &config(2, service));
    let acknowledged = record.now();
    record.line(&format!(
        "the route of the jobs leads to {service:?} (version 2 of the configuration, acknowledged)"
    ));
    step.join().expect("a trainer");
    if !trouble {
        return Verdict::Held;
    }
    let runs = deployment.engines.iter().flat_map(|engine| engine.runs());
    let late = runs
        .filter(|run| run.began > acknowledged + CONFIG_BOUND)
        .count();
    if late == 0 {
        return Verdict::Held;
    }
    Verdict::Broken(format!("CONFIG: {late} items ran with a dropped route"))
}
