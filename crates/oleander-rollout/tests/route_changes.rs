//! Routes of batch jobs that change while their items run: what is sent to an engine later is sent as the
//! newest configuration allows.

mod support;

use oleander_platform_standins::engine_faults::EngineFaults;
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
/// Longest time for which an item may be at no engine, by the rule on lost items.
const AT_NO_ENGINE_MAX: Duration = Duration::from_secs(5);
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
const GROUPS: usize = 40;
const ITEMS: usize = 2 * GROUPS;
/// Events of the shortest items: a run takes 2 s.
const EVENTS: usize = 20;

/// Returns the configuration without a route for jobs.
fn config_without_jobs(version: u64) -> Value {
    let mut config = config(version);
    config["routes"].as_array_mut().expect("routes").remove(1);
    config
}

/// Returns a configuration with the services `llm` and `llm-b`, whose route for jobs leads to `service`.
fn config_with_jobs_at(version: u64, service: &str) -> Value {
    let mut config = config(version);
    config["routes"][1]["service"] = service.into();
    let mut other = config["services"][1].clone();
    other["name"] = "llm-b".into();
    let services = config["services"].as_array_mut();
    services.expect("services").push(other);
    config
}

fn put(deployment: &Deployment, config: &Value) {
    deployment.store.put("config", "main", config);
}

fn start() -> Deployment {
    let deployment = Deployment::start(SMALL);
    for engine in &deployment.engines {
        engine.set_event_interval(EVENT_INTERVAL);
    }
    deployment
}

/// Submits a step of which only a part runs at once.
fn submit(deployment: &Deployment) -> Value {
    let body = job(1, 1, GROUPS, EVENTS);
    deployment.submit(0, "job-a", &body);
    wait_for("the engines are full", || deployment.running() == 16);
    body
}

fn runs(deployment: &Deployment) -> usize {
    deployment.engines.iter().map(|one| one.runs().len()).sum()
}

/// Returns how many items were given up; the others must be whole.
fn count_given_up(results: &[Value], body: &Value) -> usize {
    let is_done = |result: &&Value| result["state"] == "done";
    let done: Vec<Value> = results.iter().filter(is_done).cloned().collect();
    let mut of_done = body.clone();
    let items = of_done["items"].as_array_mut().expect("items");
    items.retain(|item| done.iter().any(|result| result["id"] == item["id"]));
    check_results(&done, &of_done);
    let given_up = results.iter().filter(|one| one["state"] == "errored");
    given_up.count()
}

// Guards against items that are sent to engines after their route was removed (review/15).
#[test]
fn items_are_not_sent_after_their_route_was_removed() {
    let deployment = start();
    let body = submit(&deployment);
    put(&deployment, &config_without_jobs(2));
    thread::sleep(CONFIG_BOUND);
    let sent = runs(&deployment);
    let results = deployment.read_all(0, "job-a", ITEMS);
    assert_eq!(runs(&deployment), sent);
    // What had begun is whole, and the rest doesn't wait for the trainer's deadline.
    assert_eq!(count_given_up(&results, &body), ITEMS - sent);
}

// Guards against items that are given up although their route comes back.
#[test]
fn items_go_on_if_their_route_comes_back_within_a_moment() {
    let deployment = start();
    let body = submit(&deployment);
    put(&deployment, &config_without_jobs(2));
    thread::sleep(Duration::from_millis(700));
    put(&deployment, &config(3));
    check_results(&deployment.read_all(0, "job-a", ITEMS), &body);
}

// Guards against a new leader that knows nothing of a removed route: it must neither send the items nor keep
// them until they are too old.
#[test]
fn a_new_leader_gives_up_the_items_of_a_removed_route() {
    let mut deployment = start();
    let body = submit(&deployment);
    let leader = deployment.leader().expect("a leader");
    put(&deployment, &config_without_jobs(2));
    deployment.dispatchers[leader].kill();
    wait_for("the other dispatcher leads", || {
        deployment.leader() == Some(1 - leader)
    });
    thread::sleep(CONFIG_BOUND);
    let sent = runs(&deployment);
    thread::sleep(AT_NO_ENGINE_MAX);
    let results = deployment.read_all(0, "job-a", ITEMS);
    assert_eq!(runs(&deployment), sent);
    assert!(count_given_up(&results, &body) >= ITEMS - sent);
}

// Guards against items that are given up because a new leader has not read the configuration yet.
#[test]
fn a_leader_without_a_configuration_gives_up_no_item() {
    let mut deployment = start();
    let body = submit(&deployment);
    let leader = deployment.leader().expect("a leader");
    deployment.store.set_faults(StoreFaults {
        config_delay: Duration::from_secs(4),
        ..StoreFaults::default()
    });
    deployment.dispatchers[leader].kill();
    thread::sleep(Duration::from_secs(8));
    deployment.store.set_faults(StoreFaults::default());
    check_results(&deployment.read_all(0, "job-a", ITEMS), &body);
}

// Guards against a run that breaks off after its route has moved, and goes on at the old service (review/14).
#[test]
fn a_run_that_breaks_off_after_its_route_has_moved_goes_on_at_the_new_service() {
    let deployment = start();
    put(&deployment, &config_with_jobs_at(2, "llm"));
    let [old, new] = &deployment.engines[..] else {
        panic!("two engines");
    };
    deployment
        .store
        .put("servers", &new.instance(), &new.entry("llm-b"));
    thread::sleep(CONFIG_BOUND);
    old.set_faults(EngineFaults {
        break_at_event: 40,
        ..EngineFaults::default()
    });
    let body = job(2, 1, 2, 50);
    deployment.submit(0, "job-b", &body);
    wait_for("the old service runs all items", || old.running() == 4);
    put(&deployment, &config_with_jobs_at(3, "llm-b"));
    check_results(&deployment.read_all(0, "job-b", 4), &body);
    assert_eq!(old.runs().len(), 4);
    let goes_on = |run: &&RunRecord| run.after_event > 0;
    assert!(new.runs().iter().filter(goes_on).count() > 0);
}
