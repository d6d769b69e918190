//! Deployments in which two services hold the same model.

mod support;

use oleander_platform_standins::run_record::RunRecord;
use oleander_platform_standins::store_faults::StoreFaults;
use serde_json::Value;
use std::thread;
use std::time::Duration;
use support::deployment::Deployment;
use support::deployment_size::SMALL;
use support::{check_results, config, job, wait_for};

/// Time within which a changed configuration must be in force.
const CONFIG_BOUND: Duration = Duration::from_secs(2);

/// Returns a configuration with the services `llm` and `llm-b`, whose route for jobs leads to
/// `service`.
fn config_with_jobs_at(version: u64, service: &str) -> Value {
    let mut config = config(version);
    config["routes"][1]["service"] = service.into();
    let mut other = config["services"][1].clone();
    other["name"] = "llm-b".into();
    config["services"]
        .as_array_mut()
        .expect("services")
        .push(other);
    config
}

/// Starts a deployment whose second engine belongs to `llm-b`.
fn start() -> Deployment {
    let deployment = Deployment::start(SMALL);
    deployment
        .store
        .put("config", "main", &config_with_jobs_at(2, "llm"));
    let engine = &deployment.engines[1];
    deployment
        .store
        .put("servers", &engine.instance(), &engine.entry("llm-b"));
    thread::sleep(CONFIG_BOUND);
    deployment
}

/// Returns the number of runs of a step at an engine.
fn runs_of(deployment: &Deployment, engine: usize, step: u64) -> usize {
    let prefix = format!("{step:04x}");
    let runs = deployment.engines[engine].runs();
    let is_of_step = |run: &&RunRecord| run.id.starts_with(&prefix);
    runs.iter().filter(is_of_step).count()
}

// Guards against items at engines of a service to which their route does not lead, also after the
// route has moved and after a change of leader.
#[test]
fn items_run_at_the_service_of_their_route() {
    let mut deployment = start();
    let first = job(1, 1, 10, 4);
    deployment.submit(0, "job-a", &first);
    check_results(&deployment.read_all(0, "job-a", 20), &first);
    assert_eq!(
        (runs_of(&deployment, 0, 1), runs_of(&deployment, 1, 1)),
        (20, 0)
    );

    let moved = config_with_jobs_at(3, "llm-b");
    deployment.store.put("config", "main", &moved);
    thread::sleep(CONFIG_BOUND);
    let second = job(2, 1, 10, 4);
    deployment.submit(0, "job-b", &second);
    check_results(&deployment.read_all(0, "job-b", 20), &second);
    assert_eq!(
        (runs_of(&deployment, 0, 2), runs_of(&deployment, 1, 2)),
        (0, 20)
    );

    let leader = deployment.leader().expect("a leader");
    deployment.dispatchers[leader].kill();
    let third = job(3, 1, 10, 4);
    deployment.submit(0, "job-c", &third);
    check_results(&deployment.read_all(0, "job-c", 20), &third);
    assert_eq!(
        (runs_of(&deployment, 0, 3), runs_of(&deployment, 1, 3)),
        (0, 20)
    );
}

// Guards against items that a leader assigns by the configuration of an earlier time at which it led.
#[test]
fn a_leader_that_led_before_uses_the_present_configuration() {
    let mut deployment = start();
    let first = deployment.leader().expect("a leader");
    deployment.dispatchers[first].process().signal("STOP");
    wait_for("the other dispatcher leads", || {
        deployment.leader() == Some(1 - first)
    });
    deployment.dispatchers[first].process().signal("CONT");
    wait_for("the first leader stands by", || {
        let log = deployment.dispatchers[first].process().log();
        log.contains("event=stepped-down")
    });
    // Ends the watches that still wait.
    deployment.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    thread::sleep(Duration::from_millis(100));
    deployment.store.set_faults(StoreFaults::default());
    thread::sleep(Duration::from_secs(1));
    let moved = config_with_jobs_at(3, "llm-b");
    deployment.store.put("config", "main", &moved);
    thread::sleep(CONFIG_BOUND);
    deployment.store.set_faults(StoreFaults {
        config_delay: Duration::from_millis(500),
        ..StoreFaults::default()
    });
    deployment.dispatchers[1 - first].kill();
    let body = job(5, 1, 4, 4);
    deployment.submit(0, "job-e", &body);
    check_results(&deployment.read_all(0, "job-e", 8), &body);
    assert_eq!(
        (runs_of(&deployment, 0, 5), runs_of(&deployment, 1, 5)),
        (0, 8)
    );
}

// Guards against items that wait for the old service of a route that has moved to another one.
#[test]
fn waiting_items_go_to_the_new_service_of_their_route() {
    let deployment = start();
    let body = job(4, 1, 20, 40);
    deployment.submit(0, "job-d", &body);
    wait_for("the first service runs items", || {
        deployment.engines[0].running() > 0
    });
    let moved = config_with_jobs_at(3, "llm-b");
    deployment.store.put("config", "main", &moved);
    check_results(&deployment.read_all(0, "job-d", 40), &body);
    assert!(
        runs_of(&deployment, 1, 4) >= 16,
        "the new service runs the rest"
    );
}
