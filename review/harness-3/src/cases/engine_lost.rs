//! The only worker with the present weights of a trainer's model is lost while its step runs.

use crate::Verdict;
use crate::deployment::{Deployment, config};
use crate::engine::{Run, SLOTS};
use crate::lost::check_lost;
use crate::record::Record;
use crate::trainer::{Plan, Trainer};
use std::thread;
use std::time::Duration;

const MODELS: [&str; 3] = ["ma", "mb", "mc"];
/// Groups of four items in a step of each trainer.
const GROUPS: [usize; 3] = [24, 4, 4];
/// Workers; one of them is a seventh, less than the share of 0.15 of the pages.
const ENGINES: usize = 7;
/// Steps of each trainer before the others pause.
const WARM_STEPS: usize = 4;
/// Time from the submission of the step to the loss of the worker.
const CRASH_AFTER: Duration = Duration::from_millis(700);
/// Time after which the entry of a silent worker leaves the list: three heartbeats of 1.2 s.
const EXPIRY: Duration = Duration::from_millis(3600);

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let services = ["lm"; ENGINES];
    let started = Deployment::start(
        record,
        &config(1, Some("lm")),
        &MODELS,
        &services,
        Duration::from_millis(25),
    );
    let Some(deployment) = started else {
        return Verdict::NotRun("the deployment was not ready in time".to_owned());
    };
    let trainer = |n: usize| Trainer {
        plan: Plan {
            model: MODELS[n],
            groups: GROUPS[n],
            group_size: 4,
            events: 20,
        },
        entries: deployment.entry_addrs(),
        store: deployment.store.clone(),
        record: record.clone(),
    };
    let ready = record.now();
    let warm: Vec<_> = (0..3)
        .map(|n| {
            let (trainer, start) = (trainer(n), ready + Duration::from_secs(n as u64));
            thread::spawn(move || trainer.play(start, 0, WARM_STEPS, Duration::MAX))
        })
        .collect();
    let warm = warm.into_iter().map(|one| one.join().expect("a trainer"));
    if warm.flatten().any(|step| !step.served) {
        return Verdict::NotRun("a step before the disruption was not served".to_owned());
    }
    // The weights that were named last are loaded.
    thread::sleep(Duration::from_secs(3));
    for engine in &deployment.engines {
        let versions = MODELS.map(|model| engine.version(model));
        record.line(&format!("{} has versions {versions:?}", engine.instance));
    }
    let oldest = WARM_STEPS as u64;
    let able = |n: &usize| deployment.engines[*n].version("mb") >= oldest;
    let able: Vec<usize> = (0..ENGINES).filter(able).collect();
    let [only] = able[..] else {
        return Verdict::NotRun(format!("workers {able:?} have the weights of mb"));
    };
    for engine in &deployment.engines {
        engine.set_event_interval(Duration::from_millis(100));
    }
    let step = {
        let trainer = trainer(1);
        thread::spawn(move || trainer.step(oldest))
    };
    if trouble {
        thread::sleep(CRASH_AFTER);
        let engine = &deployment.engines[only];
        record.line(&format!("{} is lost for good", engine.instance));
        engine.crash();
        thread::sleep(EXPIRY);
        deployment.store.remove("servers", &engine.instance);
        record.line(&format!("{} leaves the list", engine.instance));
    }
    let step = step.join().expect("a trainer");
    if step.served {
        return Verdict::Held;
    }
    let runs: Vec<Run> = deployment
        .engines
        .iter()
        .flat_map(|engine| engine.runs())
        .collect();
    // No version was named after the step was asked.
    check_lost(record, &runs, &step, SLOTS * (ENGINES - 1))
}
