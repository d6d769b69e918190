//! Agents that don't reach the leader while jobs end or routes move elsewhere.

mod support;

use oleander_platform_standins::stand_in_engine::StandInEngine;
use oleander_platform_standins::store_faults::StoreFaults;
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::{check_results, config, job, wait_for};

const SIZE: DeploymentSize = DeploymentSize {
    entries: 1,
    engines: 1,
    dispatchers: 1,
    services: 1,
};
/// Time after the acknowledgement of an end within which no item reaches an endpoint any more: the
/// default of `bounds.end_within`.
const END_WITHIN: Duration = Duration::from_secs(3);
/// Time within which a change of the configuration is in force: the default of `keys.config_within`.
const CONFIG_WITHIN: Duration = Duration::from_secs(3);
/// Events of a run.
const EVENTS: usize = 20;
/// Interval of the events, with which a run takes over four seconds.
const LONG: Duration = Duration::from_millis(210);
/// Time after which the leader has answered a call of an agent that waits for work.
const PULL_ENDS: Duration = Duration::from_millis(1200);
/// Time after which runs that were in progress have ended, and their scoring calls were sent.
const RUNS_END: Duration = Duration::from_millis(6500);

/// Submits a job whose runs take four seconds, and waits until eight of them run.
fn submit_long_job(deployment: &Deployment, id: &str) -> serde_json::Value {
    for engine in &deployment.engines {
        engine.set_event_interval(LONG);
    }
    let body = job(1, 1, 12, EVENTS);
    deployment.submit(0, id, &body);
    wait_for("items run", || deployment.running() == 8);
    body
}

/// Ends a job as another leader would, and returns when the store has the mark.
fn mark_ended(deployment: &Deployment, id: &str) -> Instant {
    deployment.store.put("job-ends", id, &json!(true));
    Instant::now()
}

/// Checks that nothing of an ended job reaches an endpoint later than it may.
fn assert_nothing_runs(deployment: &Deployment, ended_at: Instant) {
    let late = |arrivals: Vec<Instant>| -> Vec<Duration> {
        let late = arrivals
            .into_iter()
            .filter(|at| *at > ended_at + END_WITHIN);
        late.map(|at| at - ended_at).collect()
    };
    let runs: Vec<Instant> = deployment
        .engines
        .iter()
        .flat_map(StandInEngine::arrivals)
        .collect();
    assert_eq!(late(runs), [], "runs after the end");
    let calls = deployment.services[0].arrivals();
    assert_eq!(late(calls), [], "scoring calls after the end");
}

#[test]
fn nothing_of_a_job_runs_that_ended_while_its_agent_heard_no_leader() {
    let deployment = Deployment::start(SIZE);
    submit_long_job(&deployment, "job-a");
    deployment.dispatchers[0].process().signal("STOP");
    let ended_at = mark_ended(&deployment, "job-a");
    thread::sleep(RUNS_END);
    assert_nothing_runs(&deployment, ended_at);
}

#[test]
fn nothing_of_a_job_runs_whose_leader_is_killed_right_after_the_acknowledgement() {
    let deployment = Deployment::start(SIZE);
    submit_long_job(&deployment, "job-a");
    // The call that waits at the leader is answered before the end, and the agent makes no other one.
    deployment.agents[0].process().signal("STOP");
    thread::sleep(PULL_ENDS);
    let reply = deployment.call(0, "DELETE", "/-/lots/job-a", &[], b"");
    assert_eq!(reply.map(|reply| reply.status), Some(200));
    let ended_at = Instant::now();
    deployment.dispatchers[0].process().signal("KILL");
    deployment.agents[0].process().signal("CONT");
    thread::sleep(RUNS_END);
    assert_nothing_runs(&deployment, ended_at);
}

#[test]
fn nothing_of_a_job_runs_that_ended_while_its_agent_was_frozen() {
    let deployment = Deployment::start(SIZE);
    submit_long_job(&deployment, "job-a");
    deployment.dispatchers[0].process().signal("STOP");
    deployment.agents[0].process().signal("STOP");
    let ended_at = mark_ended(&deployment, "job-a");
    // The runs end meanwhile.
    thread::sleep(RUNS_END);
    deployment.agents[0].process().signal("CONT");
    thread::sleep(Duration::from_secs(2));
    assert_nothing_runs(&deployment, ended_at);
}

#[test]
fn items_of_an_open_job_wait_for_no_leader() {
    let deployment = Deployment::start(SIZE);
    submit_long_job(&deployment, "job-a");
    let held = || deployment.engines[0].runs().len();
    assert_eq!(held(), 8);
    deployment.dispatchers[0].process().signal("STOP");
    let lost_at = Instant::now();
    wait_for("scoring calls are sent", || {
        deployment.services[0].arrivals().len() >= 8
    });
    // What the agent held when the leader was lost.
    wait_for("items that waited run", || held() > 8);
    let took = lost_at.elapsed();
    assert!(took > END_WITHIN, "the runs end after {took:?}");
    let arrivals = deployment.engines[0].arrivals();
    let scored = deployment.services[0].arrivals();
    let ended_at = scored[0];
    let waited = arrivals[8].saturating_duration_since(ended_at);
    assert!(waited < Duration::from_secs(1), "{waited:?}");
}

#[test]
fn items_of_an_open_job_wait_for_no_store_while_a_leader_answers() {
    let deployment = Deployment::start(SIZE);
    let body = submit_long_job(&deployment, "job-a");
    deployment.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let down_at = Instant::now();
    wait_for("items that waited run", || {
        deployment.engines[0].runs().len() > 8
    });
    let took = down_at.elapsed();
    assert!(took > END_WITHIN, "the runs end after {took:?}");
    assert!(took < Duration::from_secs(7), "{took:?}");
    deployment.store.set_faults(StoreFaults::default());
    deployment.engines[0].set_event_interval(Duration::from_millis(5));
    check_results(&deployment.read_all(0, "job-a", 24), &body);
}

#[test]
fn items_of_an_open_job_go_on_while_neither_a_leader_nor_the_store_answers() {
    let deployment = Deployment::start(SIZE);
    submit_long_job(&deployment, "job-a");
    deployment.dispatchers[0].process().signal("STOP");
    deployment.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let lost_at = Instant::now();
    wait_for("items that waited run", || {
        deployment.engines[0].runs().len() > 8
    });
    let took = lost_at.elapsed();
    assert!(took > END_WITHIN, "the runs end after {took:?}");
    assert!(took < Duration::from_secs(7), "{took:?}");
}

#[test]
fn no_item_starts_at_the_old_service_of_a_route_that_moved_while_its_agent_heard_no_leader() {
    let deployment = Deployment::start(SIZE);
    submit_long_job(&deployment, "job-a");
    deployment.dispatchers[0].process().signal("STOP");
    let mut moved = config(2);
    moved["services"]
        .as_array_mut()
        .expect("services")
        .push(json!({"name": "llm-2", "health_path": "/health", "max_conns": 100}));
    for route in moved["routes"].as_array_mut().expect("routes") {
        if route["name"] == "jobs" {
            route["service"] = json!("llm-2");
        }
    }
    deployment.store.put("config", "main", &moved);
    let moved_at = Instant::now();
    thread::sleep(RUNS_END);
    let arrivals = deployment.engines[0].arrivals();
    let late = arrivals.iter().filter(|at| **at > moved_at + CONFIG_WITHIN);
    assert_eq!(late.count(), 0, "runs at the old service");
}
