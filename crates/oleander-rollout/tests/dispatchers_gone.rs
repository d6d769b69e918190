//! Dispatchers on machines that were replaced: their entries in the store outlive them.

mod support;

use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::{check_results, job, wait_for};

const SIZE: DeploymentSize = DeploymentSize {
    entries: 1,
    engines: 2,
    dispatchers: 2,
    services: 1,
};
/// Longest time without a leader: the rule allows items at no worker for 5 s.
const LED_WITHIN: Duration = Duration::from_secs(5);
/// Time within which entries of dispatchers that are gone are removed, those of several rounds of probes.
const REMOVED_WITHIN: Duration = Duration::from_secs(60);

/// Registers dispatchers that are gone, at ports where nothing listens, with names before those of the
/// dispatchers that are there.
fn register_gone(deployment: &Deployment, count: u16) {
    for n in 0..count {
        let spec = json!({ "addr": format!("127.0.0.1:{}", 1 + n) });
        let name = format!("node-dispatcher-!{n:04}");
        deployment.store.put("dispatchers", &name, &spec);
    }
}

/// Returns the number of registered dispatchers.
fn registered(deployment: &Deployment) -> usize {
    // The leader object is of the same kind.
    deployment.store.specs("dispatchers").len() - 1
}

// Guards against a leadership that stays vacant for longer the more dispatchers were ever replaced (review/13).
#[test]
fn a_planned_stop_is_not_prolonged_by_dispatchers_that_are_gone() {
    let mut deployment = Deployment::start(SIZE);
    register_gone(&deployment, 110);
    let body = job(1, 1, 40, 10);
    deployment.submit(0, "job-a", &body);
    let leader = deployment.leader().expect("a leader");
    deployment.dispatchers[leader].process().signal("TERM");
    let began = Instant::now();
    wait_for("the other dispatcher leads", || {
        deployment.leader() == Some(1 - leader)
    });
    let took = began.elapsed();
    assert!(took < LED_WITHIN, "{took:?}");
    check_results(&deployment.read_all(0, "job-a", 80), &body);
    deployment.dispatchers[leader].kill();
}

// Guards against a list of dispatchers that grows with each machine that is replaced.
#[test]
fn entries_of_dispatchers_that_are_gone_are_removed() {
    let deployment = Deployment::start(SIZE);
    register_gone(&deployment, 3);
    let began = Instant::now();
    while registered(&deployment) > SIZE.dispatchers {
        assert!(began.elapsed() < REMOVED_WITHIN, "not removed");
        thread::sleep(Duration::from_millis(100));
    }
    // Those that are there stay.
    thread::sleep(Duration::from_secs(5));
    assert_eq!(registered(&deployment), SIZE.dispatchers);
}

// Guards against a dispatcher that stays out of the list after its entry was removed by mistake.
#[test]
fn a_dispatcher_whose_entry_was_removed_registers_itself_again() {
    let deployment = Deployment::start(SIZE);
    for node in &deployment.dispatchers {
        let name = format!("node-{}", node.name);
        deployment.store.remove("dispatchers", &name);
    }
    wait_for("the dispatchers are registered again", || {
        registered(&deployment) == SIZE.dispatchers
    });
}
