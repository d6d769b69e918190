//! A change of the leader while one of three trainers has a step open.

use crate::Verdict;
use crate::deployment::{Deployment, config};
use crate::record::Record;
use crate::trainer::{Plan, STEP_EVERY, Step, Trainer};
use std::thread;
use std::time::Duration;

const MODELS: [&str; 3] = ["ma", "mb", "mc"];
/// Groups of four items in a step of each trainer.
const GROUPS: [usize; 3] = [20, 8, 8];
/// When each trainer asks its first step, after the deployment is ready.
const STARTS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_secs(4),
    Duration::from_secs(6),
];
/// When the leader is killed.
const KILL_AT: Duration = Duration::from_millis(500);
/// Pause before the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(70);
/// A kind of request that is served less than this share as often as all requests breaks the rule.
const STARVED_SHARE: f64 = 0.25;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let started = Deployment::start(
        record,
        &config(1, Some("lm")),
        &MODELS,
        &["lm"; 3],
        Duration::from_millis(25),
    );
    let Some(mut deployment) = started else {
        return Verdict::NotRun("the deployment was not ready in time".to_owned());
    };
    let ready = record.now();
    let trainers: Vec<_> = (0..3)
        .map(|n| {
            let trainer = Trainer {
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
            thread::spawn(move || trainer.play(ready + STARTS[n], 0, usize::MAX, ready + LENGTH))
        })
        .collect();
    thread::sleep(KILL_AT);
    if trouble {
        let Some(leader) = deployment.leader() else {
            return Verdict::NotRun("no leader to kill".to_owned());
        };
        record.line(&format!("kill of {}", deployment.dispatchers[leader].name));
        deployment.dispatchers[leader].kill();
        thread::sleep(RESTART_DELAY);
        deployment.dispatchers[leader].start();
        record.line(&format!("start of {}", deployment.dispatchers[leader].name));
    }
    let steps: Vec<Vec<Step>> = trainers
        .into_iter()
        .map(|one| one.join().expect("a trainer"))
        .collect();
    let end = record.now();
    let mut shares = Vec::new();
    let (mut served_all, mut owed_all) = (0.0, 0.0);
    for (n, steps) in steps.iter().enumerate() {
        let items = (GROUPS[n] * 4) as f64;
        // Steps for which there was time count, also those to which the trainer never came.
        let time = (end - ready - STARTS[n]).as_secs_f64() / STEP_EVERY.as_secs_f64();
        let owed = time.floor().max(steps.len() as f64);
        let served = steps.iter().filter(|step| step.served).count() as f64;
        let versions: Vec<u64> = deployment
            .engines
            .iter()
            .map(|one| one.version(MODELS[n]))
            .collect();
        record.line(&format!(
            "{}: {served} of {owed} steps served, {} asked; versions at the workers {versions:?}",
            MODELS[n],
            steps.len()
        ));
        served_all += served * items;
        owed_all += owed * items;
        shares.push(served / owed);
    }
    let share_all = served_all / owed_all;
    record.line(&format!("share of all items served {share_all:.2}"));
    let starved = (0..3).find(|n| shares[*n] < STARVED_SHARE * share_all);
    match starved {
        Some(n) => Verdict::Broken(format!(
            "Starved: {} is served {:.2} of the time, all requests {share_all:.2}",
            MODELS[n], shares[n]
        )),
        None => Verdict::Held,
    }
}
