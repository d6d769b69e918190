//! Requests under which each endpoint that runs them crashes, and which clients repeat.

mod support;

use oleander_platform_standins::engine_faults::EngineFaults;
use oleander_platform_standins::stand_in_engine::StandInEngine;
use oleander_platform_standins::stand_in_service::StandInService;
use std::thread;
use std::time::{Duration, Instant};
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::{check_results, job, read_text, wait_for};

/// Body of the request under which endpoints crash.
const DEADLY: &[u8] = b"deadly";
/// Crashes after which no entry may send a request any more.
const CRASHES_MAX: usize = 3;
/// Crashes that copies of a request may cause which were sent before an entry could know.
const CRASHES_IN_FLIGHT: usize = 2;
/// Time within which all entries know that a request crashes endpoints.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);
/// Times that clients repeat a request after that.
const REPETITIONS: usize = 12;
/// Pause of clients between two repetitions.
const PAUSE: Duration = Duration::from_millis(150);

const SERVICES: DeploymentSize = DeploymentSize {
    entries: 3,
    engines: 0,
    dispatchers: 1,
    services: 4,
};

/// Starts a deployment whose services crash under the body [`DEADLY`].
fn deployment(size: DeploymentSize) -> Deployment {
    let deployment = Deployment::start(size);
    for service in &deployment.services {
        service.set_crashing_body(DEADLY);
    }
    for entry in 0..size.entries {
        wait_for("an entry knows the endpoints", || {
            call(&deployment, entry, "/calls/x", "warm", b"warm").0 == Some(200)
        });
    }
    deployment
}

/// Calls an entry; returns the status and the delay after which the caller may return, in seconds.
fn call(
    deployment: &Deployment,
    entry: usize,
    path: &str,
    id: &str,
    body: &[u8],
) -> (Option<u16>, Option<f64>) {
    let headers = [("request-id", id), ("deadline-ms", "1400")];
    let reply = deployment.call(entry, "POST", path, &headers, body);
    let retry_after = reply.as_ref().and_then(|reply| {
        let text = reply.headers.get("retry-after")?;
        text.parse().ok()
    });
    (reply.map(|reply| reply.status), retry_after)
}

fn crashes(services: &[StandInService]) -> usize {
    services.iter().map(StandInService::crashes).sum()
}

/// Restarts all services that are down, each as another instance.
fn restart_crashed(deployment: &Deployment, round: usize) {
    for (n, service) in deployment.services.iter().enumerate() {
        if service.is_down() {
            let old = format!("desk-{n}");
            let instance = format!("desk-{n}-{round}");
            service.restart(&instance);
            deployment.store.remove("servers", &old);
            for earlier in 0..round {
                deployment
                    .store
                    .remove("servers", &format!("{old}-{earlier}"));
            }
            let entry = service.entry("desk");
            deployment.store.put("servers", &instance, &entry);
        }
    }
}

/// Repeats the deadly request at one entry after the other, with new ids, while endpoints restart.
fn repeat(deployment: &Deployment, path: &str, rounds: std::ops::Range<usize>) {
    repeat_with(deployment, path, rounds, PAUSE);
}

/// Does the same as [`repeat`], with this pause after each call.
fn repeat_with(
    deployment: &Deployment,
    path: &str,
    rounds: std::ops::Range<usize>,
    pause: Duration,
) {
    for round in rounds {
        let entry = round % deployment.entries.len();
        call(
            deployment,
            entry,
            path,
            &format!("deadly-{path}-{round}"),
            DEADLY,
        );
        thread::sleep(pause);
        restart_crashed(deployment, round);
    }
}

#[test]
fn a_request_that_is_repeated_at_once_at_each_entry_crashes_no_more_than_a_few() {
    let deployment = deployment(SERVICES);
    let entries = SERVICES.entries;
    for n in 0..6 {
        let path = format!("/calls/{n}");
        let before = crashes(&deployment.services);
        let rounds = n * entries..(n + 1) * entries;
        repeat_with(&deployment, &path, rounds, Duration::ZERO);
        let crashes = crashes(&deployment.services) - before;
        assert!(
            crashes <= CRASHES_MAX + CRASHES_IN_FLIGHT,
            "{path}: {crashes} crashes"
        );
    }
}

#[test]
fn a_request_that_crashes_endpoints_is_sent_to_no_more_than_a_few() {
    for path in ["/calls/x", "/once/x"] {
        let deployment = deployment(SERVICES);
        let started_at = Instant::now();
        repeat(&deployment, path, 0..REPETITIONS);
        thread::sleep(KNOWN_WITHIN.saturating_sub(started_at.elapsed()));
        let before = crashes(&deployment.services);
        assert!(
            before <= CRASHES_MAX + CRASHES_IN_FLIGHT,
            "{path}: {before} crashes"
        );
        repeat(&deployment, path, REPETITIONS..2 * REPETITIONS);
        assert_eq!(crashes(&deployment.services), before, "{path}");
        // Other requests with the same path are served.
        wait_for("another request is served", || {
            call(&deployment, 0, path, "other", b"other").0 == Some(200)
        });
    }
}

#[test]
fn a_request_that_crashes_endpoints_is_refused_at_once_at_entries_that_never_sent_it() {
    let deployment = deployment(SERVICES);
    for round in 0..REPETITIONS {
        call(&deployment, 0, "/calls/x", &format!("d-{round}"), DEADLY);
        thread::sleep(PAUSE);
        restart_crashed(&deployment, round);
    }
    let before = crashes(&deployment.services);
    assert!(before >= CRASHES_MAX, "{before}");
    for entry in 1..3 {
        wait_for("the entry refuses the request", || {
            let (status, retry_after) = call(&deployment, entry, "/calls/x", "again", DEADLY);
            status == Some(503) && retry_after.is_some_and(|seconds| seconds >= 10.0)
        });
    }
    assert_eq!(crashes(&deployment.services), before);
}

#[test]
fn what_crashes_endpoints_is_still_known_after_all_entries_and_dispatchers_have_restarted() {
    let mut deployment = deployment(SERVICES);
    repeat(&deployment, "/calls/x", 0..REPETITIONS);
    thread::sleep(KNOWN_WITHIN);
    let before = crashes(&deployment.services);
    for node in deployment.nodes_mut() {
        node.kill();
        node.start();
    }
    for entry in 0..3 {
        wait_for("an entry serves again", || {
            call(&deployment, entry, "/calls/x", "warm", b"warm").0 == Some(200)
        });
    }
    repeat(&deployment, "/calls/x", REPETITIONS..2 * REPETITIONS);
    assert_eq!(crashes(&deployment.services), before);
}

#[test]
fn requests_in_flight_at_crashed_endpoints_are_served_and_not_held_against_their_clients() {
    let deployment = deployment(SERVICES);
    thread::scope(|scope| {
        for client in 0..6 {
            let deployment = &deployment;
            scope.spawn(move || {
                for round in 0..40 {
                    let id = format!("{client}-{round}");
                    let body = format!("innocent-{client}");
                    call(deployment, client % 3, "/calls/x", &id, body.as_bytes());
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
        repeat(&deployment, "/calls/x", 0..REPETITIONS);
    });
    for round in 0..3 {
        restart_crashed(&deployment, 1000 + round);
        thread::sleep(PAUSE);
    }
    for client in 0..6 {
        let body = format!("innocent-{client}");
        for entry in 0..3 {
            wait_for("an innocent request is served", || {
                call(&deployment, entry, "/calls/x", "after", body.as_bytes()).0 == Some(200)
            });
        }
    }
}

#[test]
fn a_scoring_call_that_crashes_endpoints_does_not_go_on_doing_so_and_its_item_is_not_lost() {
    let deployment = deployment(DeploymentSize {
        entries: 1,
        engines: 1,
        ..SERVICES
    });
    let mut body = job(1, 1, 2, 2);
    body["items"][0]["scorer_url"]["body"] = serde_json::json!("ZGVhZGx5");
    deployment.submit(0, "job-a", &body);
    for round in 0..2 * REPETITIONS {
        thread::sleep(PAUSE);
        restart_crashed(&deployment, round);
    }
    let after = crashes(&deployment.services);
    assert!(
        after <= CRASHES_MAX + CRASHES_IN_FLIGHT,
        "{after} crashes in {:?}",
        PAUSE * 2 * REPETITIONS as u32
    );
    // The other items are listed, and the next job is served.
    let results = deployment.read(0, "job-a", 0).expect("results");
    assert_eq!(results["results"].as_array().map(Vec::len), Some(3));
    let next = job(2, 1, 2, 2);
    deployment.submit(0, "job-b", &next);
    check_results(&deployment.read_all(0, "job-b", 4), &next);
}

/// Requests a stream of three events; returns the text of the response.
fn stream(deployment: &Deployment, entry: usize, id: &str) -> String {
    read_text(deployment.open_stream(entry, id, 3, 4000))
}

/// Restarts all engines that are down, each as another instance.
fn restart_crashed_engines(deployment: &Deployment, round: usize) {
    for (n, engine) in deployment.engines.iter().enumerate() {
        if engine.is_down() {
            let old = engine.instance();
            engine.restart_as(&format!("engine-{n}-{round}"));
            engine.listen_again();
            deployment.store.remove("servers", &old);
            let entry = engine.entry("llm");
            deployment.store.put("servers", &engine.instance(), &entry);
        }
    }
}

#[test]
fn a_stream_that_crashes_engines_midway_is_refused_after_a_few() {
    let deployment = Deployment::start_with_streams(2, 3);
    wait_for("the route is in force", || {
        (0..2).all(|entry| stream(&deployment, entry, "warm").contains("data: warm:3\n"))
    });
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            crash_after_event: 1,
            ..EngineFaults::default()
        });
    }
    let crashes = || -> usize { deployment.engines.iter().map(StandInEngine::crashes).sum() };
    for round in 0..REPETITIONS {
        stream(&deployment, round % 2, &format!("deadly-{round}"));
        thread::sleep(PAUSE);
        restart_crashed_engines(&deployment, round);
    }
    let before = crashes();
    assert!(before >= CRASHES_MAX, "{before} crashes");
    assert!(
        before <= CRASHES_MAX + CRASHES_IN_FLIGHT,
        "{before} crashes"
    );
    for entry in 0..2 {
        let text = stream(&deployment, entry, "again");
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
    }
    assert_eq!(crashes(), before);
}
