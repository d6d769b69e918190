//! Messages between processes that arrive again: nothing in them counts twice.

mod support;

use oleander_platform_standins::store_faults::StoreFaults;
use serde_json::Value;
use std::cell::RefCell;
use std::thread;
use std::time::Duration;
use support::deployment::Deployment;
use support::deployment_size::{DeploymentSize, SMALL};
use support::relay::Relay;
use support::relay_mode::RelayMode;
use support::{check_results, job, wait_for};

/// Length of the outage of the store: the leader refuses a message with results after 4 s.
const OUTAGE: Duration = Duration::from_millis(5000);
/// Time between two events of a run: results and failures come while the store is away.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two events of a run that ends after the connections to the leader were cut.
const LONG_INTERVAL: Duration = Duration::from_millis(100);
/// The relay takes messages to a dispatcher, but not its answers.
const NO_ANSWERS: RelayMode = RelayMode::Cut {
    to_target: false,
    from_target: true,
};

// Guards against items that are errored before the last of their attempts: the failure of a run was
// counted again with each repetition of a message whose results could not be listed.
#[test]
fn a_failed_run_counts_once_while_results_cannot_be_listed() {
    let deployment = Deployment::start(DeploymentSize {
        engines: 1,
        ..SMALL
    });
    let engine = &deployment.engines[0];
    engine.set_event_interval(EVENT_INTERVAL);
    let body = job(1, 1, 4, 10);
    // Two failures, where the route allows three attempts.
    engine.fail_item("00010000", 2);
    deployment.submit(0, "job-a", &body);
    wait_for("the items run", || deployment.running() == 8);
    deployment.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    thread::sleep(OUTAGE);
    deployment.store.set_faults(StoreFaults::default());
    check_results(&deployment.read_all(0, "job-a", 8), &body);
}

/// Starts a deployment with one engine whose dispatchers are reached through the returned relays, runs a
/// job of which one item fails twice, and loses the leader's answer to the first failure; returns the
/// index of the leader too.
fn lose_answer_to_failure(dispatchers: usize, body: &Value) -> (Deployment, Vec<Relay>, usize) {
    let relays = RefCell::new(Vec::new());
    let size = DeploymentSize {
        engines: 1,
        dispatchers,
        ..SMALL
    };
    let deployment = Deployment::start_nodes(size, |node| {
        if node.role == "dispatcher" {
            let relay = Relay::spawn(node.peers);
            node.advertised = relay.addr();
            relays.borrow_mut().push(relay);
        }
    });
    let (relays, engine) = (relays.into_inner(), &deployment.engines[0]);
    engine.set_event_interval(LONG_INTERVAL);
    // Two failures, where the route allows three attempts.
    engine.fail_item("00010000", 2);
    deployment.submit(0, "job-a", body);
    wait_for("the items run", || deployment.running() == 8);
    let leader = deployment.leader().expect("a leader");
    relays[leader].set(NO_ANSWERS);
    wait_for("the leader counts a failure", || {
        let log = deployment.dispatchers[leader].process().log();
        log.contains("reason=engine-failed")
    });
    (deployment, relays, leader)
}

// Guards against items that are errored before the last of their attempts: the failure of a run counts
// again after a restart of the agent whose message about it was not answered.
#[test]
fn a_failed_run_counts_once_if_its_agent_is_killed_before_the_answer() {
    let body = job(1, 1, 4, 10);
    let (mut deployment, relays, leader) = lose_answer_to_failure(1, &body);
    deployment.agents[0].kill();
    relays[leader].set(RelayMode::Pass);
    deployment.agents[0].start();
    check_results(&deployment.read_all(0, "job-a", 8), &body);
}

// Guards against items that are errored before the last of their attempts: the failure of a run counts
// again when its message is repeated to the next leader.
#[test]
fn a_failed_run_counts_once_if_its_return_is_repeated_to_the_next_leader() {
    let body = job(1, 1, 4, 10);
    let (mut deployment, _relays, leader) = lose_answer_to_failure(2, &body);
    deployment.dispatchers[leader].kill();
    check_results(&deployment.read_all(0, "job-a", 8), &body);
}
