//! A worker comes back with another software version while items with the output of earlier runs wait
//! at its agent. The agent never asks for work again, and the step runs out of time.

use review_harness::deployment::{Deployment, Size, config, item, job};
use review_harness::record::{Record, has_trouble, run};
use serde_json::Value;
use std::collections::HashMap;
use std::thread::sleep;
use std::time::Duration;

const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: usize = 8;
const EVENTS: usize = 70;
/// Time after which the trainer gives up.
const DEADLINE_MS: u128 = 12_000;
/// `contact_ms`: time after a disruption at which the steady state begins.
const CONTACT_MS: u128 = 3000;
/// Time at no worker after which the rule LOST is broken.
const IDLE_MS: u128 = 5000;
/// Time after a report at which the second worker crashes, so that the next report is asked for when it is
/// listed again.
const AFTER_REPORT: Duration = Duration::from_millis(20);
/// Time after its start at which a worker lists itself.
const REGISTER_AFTER: Duration = Duration::from_millis(150);

fn main() {
    run(case)
}

fn case(record: &Record) -> Vec<String> {
    let size = Size {
        entries: 1,
        dispatchers: 2,
        engines: 2,
        slots: 4,
        event_ms: 30,
        bound_ms: 2000,
    };
    let mut deployment = Deployment::start(&size, &config(1), record);
    let items: Vec<Value> = (0..ITEMS)
        .map(|n| {
            let body = format!("events {EVENTS}");
            item(&format!("e5b2907c{n:08x}"), &format!("g{}", n / 4), &body)
        })
        .collect();
    deployment.submit(0, JOB, &job(0, 1, 2, &items));
    let submitted = record.now_ms();
    deployment.wait("all slots are taken", |d| {
        d.engines.iter().all(|one| one.running() == 4)
    });
    sleep(Duration::from_millis(1500));
    if has_trouble() {
        // Gone for good.
        deployment.engines[0].crash();
        deployment.engines[0].unlist_after_lapse();
        sleep(Duration::from_millis(300));
        deployment.engines[1].wait_for_report();
        sleep(AFTER_REPORT);
        deployment.engines[1].crash();
        deployment.engines[1].restart("engine-1-again", "v2", REGISTER_AFTER);
    }
    let steady_from = record.now_ms() + CONTACT_MS;
    // Last time at which an item was at a worker, and at which half of the slots were taken.
    let mut at_worker: HashMap<String, u128> = HashMap::new();
    let mut half_full = 0;
    while record.now_ms() < submitted + DEADLINE_MS {
        let now = record.now_ms();
        let live: Vec<_> = deployment
            .engines
            .iter()
            .filter(|one| !one.is_down())
            .collect();
        let running: Vec<String> = live.iter().flat_map(|one| one.running_items()).collect();
        if running.len() * 2 >= live.len() * size.slots {
            half_full = now;
        }
        at_worker.extend(running.into_iter().map(|id| (id, now)));
        sleep(Duration::from_millis(20));
    }
    let deadline = record.now_ms();
    let read = deployment
        .read(0, JOB, 0)
        .map(|reply| reply.json())
        .unwrap_or_default();
    let listed = read["results"].as_array().map_or(0, Vec::len);
    record.line(&format!(
        "the trainer gives up: {listed} of {ITEMS} items are listed"
    ));
    deployment.end(0, JOB);
    let runs: Vec<_> = deployment
        .engines
        .iter()
        .flat_map(|one| one.runs())
        .collect();
    let mut broken = Vec::new();
    for n in 0..ITEMS {
        let id = format!("e5b2907c{n:08x}");
        if runs.iter().any(|run| run.id == id && run.is_whole) {
            continue;
        }
        let last = at_worker.get(&id).copied().unwrap_or(submitted);
        let idle_from = last.max(half_full).max(steady_from);
        let idle = deadline.saturating_sub(idle_from);
        record.line(&format!(
            "item {id} not finished, at no worker for {idle} ms of steady state"
        ));
        if idle > IDLE_MS {
            broken.push(format!(
                "item {id} was at no worker for {idle} ms of steady state"
            ));
        }
    }
    for node in &mut deployment.agents {
        let end = node.ended();
        record.line(&format!(
            "process of {}: {}",
            node.name,
            end.as_deref().unwrap_or("runs")
        ));
        let log = node.log();
        let printed = log.lines().filter(|line| line.contains("panicked at"));
        printed.for_each(|line| record.line(&format!("{} printed: {line}", node.name)));
    }
    broken
}
