//! Endpoints that say in their responses that they are leaving, while the platform's list still
//! has them as ready, as in a process that has lost touch with the store.

mod support;

use oleander_platform_standins::call_behavior::CallBehavior;
use oleander_platform_standins::engine_faults::EngineFaults;
use oleander_platform_standins::store_faults::StoreFaults;
use serde_json::json;
use std::thread;
use std::time::{Duration, UNIX_EPOCH};
use support::deployment::Deployment;
use support::deployment_size::{DeploymentSize, SMALL};
use support::http::Reply;
use support::{MODEL, check_results, job, read_text, wait_for};

const LEAVING: (&str, &str) = ("server-leaving", "1");
/// Calls after an announcement; the other endpoint refuses each second one.
const LATER_CALLS: usize = 12;
const SERVICES_ONLY: DeploymentSize = DeploymentSize {
    entries: 1,
    engines: 0,
    dispatchers: 1,
    services: 2,
};

/// Returns the Unix time, in milliseconds.
fn unix_ms() -> u64 {
    let time = UNIX_EPOCH.elapsed().expect("a time after 1970");
    u64::try_from(time.as_millis()).expect("a time before the year 500 million")
}

/// Starts a deployment in which the entry has reached service 0, because the other one refuses all
/// calls.
fn services_only() -> Deployment {
    let deployment = Deployment::start(SERVICES_ONLY);
    deployment.services[1].set_default_behavior(CallBehavior::Refuse);
    wait_for("the entry knows the endpoints", || {
        get(&deployment, "/calls/x", "warm").is_some_and(|reply| reply.status == 200)
    });
    deployment
}

fn get(deployment: &Deployment, path: &str, id: &str) -> Option<Reply> {
    let headers = [("request-id", id), ("deadline-ms", "1400")];
    deployment.call(0, "POST", path, &headers, b"body")
}

/// Calls until the entry has read an announcement; returns the number of calls that service 0 has
/// run or refused by then.
fn wait_for_announcement(deployment: &Deployment) -> usize {
    wait_for("the entry has read the announcement", || {
        let _ = get(deployment, "/calls/x", "before");
        let log = deployment.entries[0].process().log();
        log.contains("event=endpoint-leaving instance=desk-0")
    });
    calls_at_service_0(deployment)
}

fn calls_at_service_0(deployment: &Deployment) -> usize {
    let service = &deployment.services[0];
    service.calls_run().len() + service.calls_refused().len()
}

fn assert_later_calls_go_elsewhere(deployment: &Deployment, before: usize) {
    for n in 0..LATER_CALLS {
        for path in ["/calls/x", "/once/x"] {
            let (behavior, status) = match n % 2 {
                0 => (CallBehavior::Refuse, 503),
                _ => (CallBehavior::Answer, 200),
            };
            deployment.services[1].set_default_behavior(behavior);
            let reply = get(deployment, path, &format!("later-{n}"));
            assert_eq!(reply.map(|reply| reply.status), Some(status));
        }
    }
    assert_eq!(calls_at_service_0(deployment), before);
}

#[test]
fn calls_avoid_an_endpoint_that_announced_in_an_answer_that_it_is_leaving() {
    let deployment = services_only();
    deployment.services[0].set_added_headers(&[LEAVING]);
    let before = wait_for_announcement(&deployment);
    assert_later_calls_go_elsewhere(&deployment, before);
}

#[test]
fn calls_avoid_an_endpoint_that_announced_it_in_a_refusal_or_a_failure() {
    for behavior in [CallBehavior::Refuse, CallBehavior::Fail] {
        let deployment = services_only();
        deployment.services[0].set_added_headers(&[LEAVING]);
        deployment.services[0].set_default_behavior(behavior);
        let before = wait_for_announcement(&deployment);
        assert_later_calls_go_elsewhere(&deployment, before);
    }
}

#[test]
fn an_announcement_holds_while_the_store_is_down() {
    let deployment = services_only();
    deployment.services[0].set_added_headers(&[LEAVING]);
    let before = wait_for_announcement(&deployment);
    deployment.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    assert_later_calls_go_elsewhere(&deployment, before);
}

#[test]
fn an_endpoint_that_restarts_under_its_id_is_used_again() {
    let deployment = services_only();
    deployment.services[0].set_added_headers(&[LEAVING]);
    let before = wait_for_announcement(&deployment);
    // A change of its entry alone does not bring the endpoint back.
    let mut entry = deployment.services[0].entry("desk");
    entry["seq"] = json!(2);
    entry["cold_left_ms"] = json!(100);
    deployment.store.put("servers", "desk-0", &entry);
    thread::sleep(Duration::from_millis(300));
    assert_later_calls_go_elsewhere(&deployment, before);
    deployment.services[0].set_added_headers(&[]);
    deployment.services[1].set_default_behavior(CallBehavior::Refuse);
    entry["born"] = json!(unix_ms());
    deployment.store.put("servers", "desk-0", &entry);
    wait_for("the restarted endpoint is used", || {
        let _ = get(&deployment, "/calls/x", "again");
        calls_at_service_0(&deployment) > before
    });
}

#[test]
fn an_announcement_holds_for_an_incarnation_that_the_list_does_not_name_yet() {
    let deployment = services_only();
    let mut entry = deployment.services[0].entry("desk");
    entry["born"] = json!(unix_ms() - 60_000);
    deployment.store.put("servers", "desk-0", &entry);
    thread::sleep(Duration::from_millis(300));
    // It has restarted before it announces that it leaves.
    let restarted = unix_ms();
    thread::sleep(Duration::from_millis(10));
    deployment.services[0].set_added_headers(&[LEAVING]);
    let before = wait_for_announcement(&deployment);
    entry["born"] = json!(restarted);
    deployment.store.put("servers", "desk-0", &entry);
    thread::sleep(Duration::from_millis(300));
    assert_later_calls_go_elsewhere(&deployment, before);
}

#[test]
fn malformed_announcements_are_logged_once_and_ignored() {
    for headers in [&[("server-leaving", "yes")][..], &[LEAVING, LEAVING][..]] {
        let deployment = services_only();
        deployment.services[0].set_added_headers(headers);
        let before = calls_at_service_0(&deployment);
        wait_for("the endpoint is still used", || {
            let _ = get(&deployment, "/calls/x", "still");
            calls_at_service_0(&deployment) > before + 5
        });
        let log = deployment.entries[0].process().log();
        assert_eq!(log.matches("event=leaving-unreadable").count(), 1, "{log}");
        assert!(!log.contains("event=endpoint-leaving"), "{log}");
    }
}

/// Starts a deployment with a route for streams to two engines.
fn streams() -> Deployment {
    let deployment = Deployment::start_with_streams(1, 2);
    wait_for("the route is in force at both engines", || {
        stream(&deployment, "warm", 1);
        let mut engines = deployment.engines.iter();
        engines.all(|engine| !engine.runs().is_empty())
    });
    deployment
}

/// Requests a stream of `events` events and returns its text.
fn stream(deployment: &Deployment, id: &str, events: usize) -> String {
    read_text(deployment.open_stream(0, id, events, 60_000))
}

#[test]
fn streams_avoid_an_engine_that_announced_in_a_head_that_it_is_leaving() {
    let deployment = streams();
    deployment.engines[1].set_faults(EngineFaults {
        fail_runs: true,
        ..EngineFaults::default()
    });
    deployment.engines[0].set_added_headers(&[LEAVING]);
    let mut announced = 0;
    wait_for("the entry has read the announcement", || {
        // The stream that brings the announcement is finished.
        let text = stream(&deployment, "before", 5);
        let failed = text.starts_with("HTTP/1.1 500 ");
        assert!(failed || text.contains("data: before:5\n"), "{text}");
        announced = deployment.engines[0].runs().len();
        let log = deployment.entries[0].process().log();
        log.contains("event=endpoint-leaving instance=engine-0")
    });
    for n in 0..LATER_CALLS {
        let id = format!("failed-{n}");
        let text = stream(&deployment, &id, 1);
        assert!(text.starts_with("HTTP/1.1 500 "), "{text}");
    }
    deployment.engines[1].set_faults(EngineFaults::default());
    for n in 0..LATER_CALLS {
        let id = format!("later-{n}");
        let text = stream(&deployment, &id, 1);
        assert!(text.contains(&format!("data: {id}:1\n")), "{text}");
    }
    assert_eq!(deployment.engines[0].runs().len(), announced);
}

/// Waits until agent 0 has read that its engine is leaving.
fn wait_for_agent_0(deployment: &Deployment) {
    wait_for("the agent has read the announcement", || {
        let log = deployment.agents[0].process().log();
        log.contains("event=endpoint-leaving instance=engine-0")
    });
}

#[test]
fn items_go_to_other_engines_and_runs_are_finished_where_they_are() {
    let deployment = Deployment::start(SMALL);
    deployment.submit(0, "job-a", &job(1, 1, 6, 60));
    wait_for("items run at engine 0", || {
        deployment.engines[0].running() > 0
    });
    deployment.engines[0].set_added_headers(&[LEAVING]);
    wait_for_agent_0(&deployment);
    let started = deployment.engines[0].runs();
    let body = job(2, 1, 6, 5);
    deployment.submit(0, "job-b", &body);
    check_results(&deployment.read_all(0, "job-b", 12), &body);
    check_results(&deployment.read_all(0, "job-a", 12), &job(1, 1, 6, 60));
    let runs = deployment.engines[0].runs();
    assert_eq!(
        runs.len(),
        started.len(),
        "no run begins at a leaving engine"
    );
}

#[test]
fn an_engine_that_restarts_under_its_id_gets_items_again() {
    let deployment = Deployment::start(DeploymentSize {
        engines: 1,
        ..SMALL
    });
    deployment.engines[0].set_added_headers(&[LEAVING]);
    wait_for_agent_0(&deployment);
    let body = job(1, 1, 2, 5);
    deployment.submit(0, "job-a", &body);
    thread::sleep(Duration::from_secs(1));
    assert_eq!(deployment.engines[0].runs().len(), 0);
    deployment.engines[0].set_added_headers(&[]);
    deployment.engines[0].restart_at(2);
    let entry = deployment.engines[0].entry("llm");
    deployment.store.put("servers", "engine-0", &entry);
    check_results(&deployment.read_all(0, "job-a", 4), &body);
}

#[test]
fn a_leaving_engine_gets_no_orders() {
    let deployment = Deployment::start(SMALL);
    deployment.engines[0].set_added_headers(&[LEAVING]);
    wait_for_agent_0(&deployment);
    let version = json!({"model": MODEL, "version": 2});
    deployment.store.put("versions", MODEL, &version);
    let body = job(2, 2, 4, 20);
    deployment.submit(0, "job-a", &body);
    check_results(&deployment.read_all(0, "job-a", 8), &body);
    assert_eq!(deployment.engines[1].orders().len(), 1);
    assert_eq!(deployment.engines[0].orders().len(), 0);
}

#[test]
fn scoring_calls_avoid_a_service_that_announced_that_it_is_leaving() {
    let deployment = Deployment::start(DeploymentSize {
        engines: 1,
        ..SMALL
    });
    deployment.services[0].set_added_headers(&[LEAVING]);
    let mut step = 0;
    wait_for("the agent has read the announcement", || {
        step += 1;
        let id = format!("job-{step}");
        // Otherwise the agent may never call the first service, if the second one answers faster
        // than is assumed of a service that has not been called.
        deployment.services[1].set_next_behaviors(&[CallBehavior::Refuse]);
        deployment.submit(0, &id, &job(step, 1, 2, 2));
        deployment.read_all(0, &id, 4);
        let log = deployment.agents[0].process().log();
        log.contains("event=endpoint-leaving instance=desk-0")
    });
    let before = deployment.services[0].calls_run().len();
    let body = job(step + 1, 1, 12, 2);
    deployment.submit(0, "job-after", &body);
    check_results(&deployment.read_all(0, "job-after", 24), &body);
    assert_eq!(deployment.services[0].calls_run().len(), before);
}
