//! Endpoints that respond with bytes that are no answer, without end, until the caller closes.

mod support;

use oleander_platform_standins::call_behavior::CallBehavior;
use oleander_platform_standins::endless_bytes::EndlessBytes;
use oleander_platform_standins::stand_in_endless::StandInEndless;
use serde_json::json;
use std::cell::RefCell;
use std::io::Read;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use support::deployment::Deployment;
use support::deployment_size::{DeploymentSize, SMALL};
use support::http::Reply;
use support::node::Node;
use support::relay::Relay;
use support::{MODEL, check_results, job, wait_for};

/// Memory of an entry or agent of the smallest machines of the users.
const MEMORY_MAX: u64 = 110 << 20;
/// Time that a client waits for its response, as the request says.
const DEADLINE: Duration = Duration::from_millis(1400);
/// Time beyond the deadline after which nothing more may be read of a response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Concurrent calls.
const CALLS: usize = 8;

/// What a stream or a run may get.
const STREAMED: [EndlessBytes; 5] = [
    EndlessBytes::HeaderField,
    EndlessBytes::InterimResponses,
    EndlessBytes::EventLine,
    EndlessBytes::Comments,
    EndlessBytes::Trailers,
];

const ALL: [EndlessBytes; 8] = [
    EndlessBytes::Noise,
    EndlessBytes::HeaderField,
    EndlessBytes::HeaderFields,
    EndlessBytes::InterimResponses,
    EndlessBytes::Body,
    EndlessBytes::Chunks,
    EndlessBytes::Chunk,
    EndlessBytes::Trailers,
];

fn list(deployment: &Deployment, endpoint: &StandInEndless, service: &str, instance: &str) {
    let entry = json!({"service": service, "addr": endpoint.addr().to_string(), "zone": "z",
        "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 1,
        "models": [{"name": MODEL, "version": 1, "adapters": []}]});
    deployment.store.put("servers", instance, &entry);
}

/// Starts a deployment with one entry and `services` services, all of which refuse calls, and an
/// endpoint of the same service that the entry uses.
fn endless_service(bytes: EndlessBytes, services: usize) -> (Deployment, StandInEndless) {
    let deployment = Deployment::start(DeploymentSize {
        entries: 1,
        engines: 0,
        dispatchers: 1,
        services,
    });
    for service in &deployment.services {
        service.set_default_behavior(CallBehavior::Refuse);
    }
    let endless = StandInEndless::spawn(bytes, MODEL);
    list(&deployment, &endless, "desk", "endless");
    wait_for("the entry uses the endpoint", || {
        call(&deployment, "/once/x", "first");
        endless.requests() > 0
    });
    (deployment, endless)
}

fn call(deployment: &Deployment, path: &str, id: &str) -> Option<Reply> {
    let headers = [("request-id", id), ("deadline-ms", "1400")];
    deployment.call(0, "POST", path, &headers, b"body")
}

/// Fails if a process has used more memory than its machine has.
fn assert_memory(node: &Node, bytes: EndlessBytes) {
    let peak = node.process().peak_memory();
    assert!(peak < MEMORY_MAX, "{bytes:?}: {} MB", peak >> 20);
}

/// Fails if the caller still reads responses after [`CLOSE_TIMEOUT`].
fn assert_closed(endpoint: &StandInEndless, bytes: EndlessBytes) {
    let started_at = Instant::now();
    while endpoint.open_responses() > 0 {
        assert!(
            started_at.elapsed() < CLOSE_TIMEOUT,
            "{bytes:?}: {} responses are still read, {} bytes in all",
            endpoint.open_responses(),
            endpoint.bytes()
        );
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn calls_end_within_their_time_and_memory_whatever_an_endpoint_sends() {
    for bytes in ALL {
        let (deployment, endless) = endless_service(bytes, 0);
        thread::scope(|scope| {
            for n in 0..CALLS {
                let (deployment, id) = (&deployment, format!("call-{n}"));
                scope.spawn(move || {
                    let path = ["/calls/x", "/once/x"][n % 2];
                    let started_at = Instant::now();
                    let reply = call(deployment, path, &id);
                    let took = started_at.elapsed();
                    let status = reply.map(|reply| reply.status);
                    assert!(
                        matches!(status, Some(502..=504)),
                        "{bytes:?}: status {status:?}"
                    );
                    assert!(took < DEADLINE + CLOSE_TIMEOUT, "{bytes:?}: {took:?}");
                });
            }
        });
        assert_closed(&endless, bytes);
        assert_memory(&deployment.entries[0], bytes);
    }
}

#[test]
fn other_calls_are_served_beside_endless_responses() {
    for bytes in ALL {
        let (deployment, endless) = endless_service(bytes, 2);
        for service in &deployment.services {
            service.set_default_behavior(CallBehavior::Answer);
        }
        for n in 0..CALLS {
            let id = format!("call-{n}");
            let reply = call(&deployment, "/calls/x", &id);
            let reply = reply.expect("an answer");
            assert_eq!(reply.status, 200, "{bytes:?}");
            assert_eq!(reply.body, format!("for {id}").as_bytes());
        }
        assert_closed(&endless, bytes);
    }
}

#[test]
fn streams_break_off_and_stay_within_their_memory() {
    for bytes in STREAMED {
        let deployment = Deployment::start_with_streams(1, 0);
        let endless = StandInEndless::spawn(bytes, MODEL);
        list(&deployment, &endless, "llm", "endless");
        let read = || {
            let mut stream = deployment.open_stream(0, "s", 1, 4000);
            // The client leaves after a while, as it would without an event.
            let started_at = Instant::now();
            let mut buf = vec![0; 64 << 10];
            while started_at.elapsed() < DEADLINE && stream.read(&mut buf).is_ok_and(|n| n > 0) {}
        };
        wait_for("the entry uses the endpoint", || {
            read();
            endless.requests() > 0
        });
        thread::scope(|scope| {
            for _ in 0..CALLS {
                scope.spawn(read);
            }
        });
        assert_closed(&endless, bytes);
        assert_memory(&deployment.entries[0], bytes);
    }
}

#[test]
fn items_are_run_elsewhere_and_agents_stay_within_their_memory() {
    for bytes in STREAMED {
        let endless = StandInEndless::spawn(bytes, MODEL);
        let mut deployment = Deployment::start(SMALL);
        // The agent of engine 0 starts again beside the endless one.
        deployment.agents[0].kill();
        deployment.store.remove("servers", "engine-0");
        list(&deployment, &endless, "llm", "endless");
        let dispatcher = deployment.store.addr();
        let mut agent = Node::new("agent-9", "agent", dispatcher, Some(endless.addr()));
        agent.start();
        wait_for("the leader knows the agent", || {
            let mut dispatchers = deployment.dispatchers.iter();
            dispatchers.any(|node| {
                let log = node.process().log();
                let mut lines = log
                    .lines()
                    .filter(|line| line.contains("event=agent-known"));
                lines.any(|line| line.contains("agent=agent-9 ") && line.contains("slots=8"))
            })
        });
        let body = job(1, 1, 10, 3);
        deployment.submit(0, "job-a", &body);
        check_results(&deployment.read_all(0, "job-a", 20), &body);
        assert!(endless.requests() > 0, "{bytes:?}: no item ran there");
        assert_memory(&agent, bytes);
    }
}

/// Responses after which the store or the leader answers again.
const RESPONSES: usize = 24;

/// Has all nodes get bytes without end in the place of what they reach by `relays`, until they have
/// asked often, and checks that calls are answered meanwhile and jobs run later.
fn outlive(bytes: EndlessBytes, deployment: &mut Deployment, relays: &[(Relay, SocketAddr)]) {
    let endless = StandInEndless::spawn(bytes, MODEL);
    for (relay, _) in relays {
        relay.redirect(endless.addr());
    }
    let mut calls = 0;
    wait_for("the nodes have asked often", || {
        calls += 1;
        let reply = call(deployment, "/calls/x", &format!("beside-{calls}"));
        assert_eq!(
            reply.map(|reply| reply.status),
            Some(200),
            "{bytes:?}: a call beside"
        );
        deployment.nodes_mut().for_each(Node::expect_running);
        endless.requests() >= RESPONSES
    });
    for (relay, target) in relays {
        relay.redirect(*target);
    }
    let body = job(1, 1, 10, 3);
    deployment.submit(0, "job-a", &body);
    check_results(&deployment.read_all(0, "job-a", 20), &body);
    for node in deployment.nodes_mut() {
        node.expect_running();
        assert_memory(node, bytes);
    }
}

// Guards against processes that end by what the store sends, and against watches that never go on.
#[test]
fn nodes_outlive_a_store_that_responds_without_end() {
    for bytes in ALL {
        let relays = RefCell::new(Vec::new());
        let mut deployment = Deployment::start_nodes(SMALL, |node| {
            let relay = Relay::spawn(node.store);
            relays.borrow_mut().push((relay.clone(), node.store));
            node.store = relay.addr();
        });
        outlive(bytes, &mut deployment, &relays.into_inner());
    }
}

// Guards against entries and agents that end by what the leader sends.
#[test]
fn nodes_outlive_a_leader_that_responds_without_end() {
    for bytes in ALL {
        let relays = RefCell::new(Vec::new());
        let mut deployment = Deployment::start_nodes(SMALL, |node| {
            let relay = Relay::spawn(node.peers);
            relays.borrow_mut().push((relay.clone(), node.peers));
            node.advertised = relay.addr();
        });
        outlive(bytes, &mut deployment, &relays.into_inner());
    }
}
