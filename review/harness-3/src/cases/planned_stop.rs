//! A planned stop of the leader, after many machines have been replaced.

use crate::Verdict;
use crate::deployment::{Deployment, config};
use crate::engine::{Run, SLOTS};
use crate::lost::check_lost;
use crate::record::Record;
use crate::trainer::{Plan, Trainer};
use std::thread;
use std::time::{Duration, Instant};

const ENGINES: usize = 2;
/// Machines with a dispatcher that were removed for good and replaced, one after the other, before the case
/// begins.
const REPLACED: usize = 110;
/// When the leader is told to stop, after the step was asked.
const STOP_AFTER: Duration = Duration::from_millis(1000);
/// Pause before the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let services = ["lm"; ENGINES];
    let interval = Duration::from_millis(100);
    let started = Deployment::start_after(
        REPLACED,
        record,
        &config(1, Some("lm")),
        &["ma"],
        &services,
        interval,
    );
    let Some(mut deployment) = started else {
        return Verdict::NotRun("the deployment was not ready in time".to_owned());
    };
    // The start of the processes is over.
    thread::sleep(Duration::from_secs(5));
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
    thread::sleep(STOP_AFTER);
    if trouble {
        let Some(leader) = deployment.leader() else {
            return Verdict::NotRun("no leader to stop".to_owned());
        };
        let leader = &mut deployment.dispatchers[leader];
        record.line(&format!("SIGTERM to {}", leader.name));
        leader.terminate();
        let told = Instant::now();
        while !leader.has_ended() && told.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(20));
        }
        let ended = leader.has_ended();
        record.line(&format!("{} has ended: {ended}", leader.name));
        leader.kill();
        thread::sleep(RESTART_DELAY);
        leader.start();
        record.line(&format!("start of {}", leader.name));
    }
    let step = step.join().expect("a trainer");
    record.line(&format!("led by {:?}", deployment.leader_name()));
    if step.served {
        return Verdict::Held;
    }
    let runs: Vec<Run> = deployment
        .engines
        .iter()
        .flat_map(|engine| engine.runs())
        .collect();
    // No version was named at all.
    check_lost(record, &runs, &step, SLOTS * ENGINES)
}
