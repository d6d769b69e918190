//! Failures that operators of similar systems have reported, each provoked from outside of real
//! processes; `docs/FAILURES.md` is the list.

mod support;

use oleander_platform_standins::call_behavior::CallBehavior;
use oleander_platform_standins::engine_faults::EngineFaults;
use oleander_platform_standins::store_faults::StoreFaults;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use support::deployment::Deployment;
use support::deployment_size::{DeploymentSize, SMALL};
use support::http::{Reply, call};
use support::{HOST, check_results, job, wait_for};

const ONE_SERVICE: DeploymentSize = DeploymentSize {
    entries: 1,
    engines: 0,
    dispatchers: 1,
    services: 1,
};
/// Events of a run that lasts longer than each test.
const ENDLESS: usize = 100_000;

/// Time after which the client of a stream leaves.
const CLIENT_PATIENCE: Duration = Duration::from_secs(40);

/// The store refuses all calls.
const STORE_DOWN: StoreFaults = StoreFaults {
    down: true,
    keep_watches: false,
    lose_response_every: 0,
    hang_writes: false,
    lose_responses_of: None,
    odd_status_of: None,
    refused_kind: None,
    config_delay: Duration::ZERO,
};

/// Starts a deployment of one service and waits until a call reaches it.
fn one_service() -> Deployment {
    let deployment = Deployment::start(ONE_SERVICE);
    wait_for("the entry knows the endpoint", || {
        get(&deployment, "/calls/x", "warm").is_some_and(|reply| reply.status == 200)
    });
    deployment
}

fn get(deployment: &Deployment, path: &str, id: &str) -> Option<Reply> {
    let headers = [("request-id", id), ("deadline-ms", "1400")];
    deployment.call(0, "POST", path, &headers, b"body")
}

/// Returns how often the call with this id has run.
fn runs(deployment: &Deployment, id: &str) -> usize {
    let calls = deployment.services.iter().flat_map(|one| one.calls_run());
    calls
        .filter(|req| req.header("request-id") == Some(id))
        .count()
}

#[test]
fn the_late_copy_of_a_refusal_does_not_refuse_another_call() {
    let deployment = one_service();
    for n in 0..5 {
        let id = format!("once-{n}");
        deployment.services[0].set_next_behaviors(&[CallBehavior::AnswerAfterStrayRefusal]);
        let reply = get(&deployment, "/once/x", &id).expect("an answer");
        // The call has run: a refusal would say that it has not.
        assert_eq!(reply.status, 502, "{id}");
        assert_eq!(runs(&deployment, &id), 1);
    }
}

#[test]
fn the_call_after_a_late_copy_gets_its_own_answer() {
    let deployment = one_service();
    let strays = [
        CallBehavior::AnswerAfterStrayAnswer,
        CallBehavior::AnswerAfterStrayRefusal,
    ];
    for (n, behavior) in strays.into_iter().cycle().take(6).enumerate() {
        deployment.services[0].set_next_behaviors(&[behavior]);
        let reply = get(&deployment, "/once/x", &format!("stray-{n}")).expect("an answer");
        assert_eq!(reply.status, 502, "{behavior:?}");
        let id = format!("next-{n}");
        let reply = get(&deployment, "/once/x", &id).expect("an answer");
        assert_eq!(reply.status, 200, "{behavior:?}");
        assert_eq!(reply.body, format!("for {id}").as_bytes(), "{behavior:?}");
    }
}

#[test]
fn the_late_copy_of_an_answer_to_an_order_ends_no_run() {
    let deployment = Deployment::start(SMALL);
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            stray_answers: true,
            ..EngineFaults::default()
        });
    }
    let body = job(1, 1, 2, 5);
    deployment.submit(0, "job-a", &body);
    wait_for("runs are answered with the copy", || {
        let mut engines = deployment.engines.iter();
        engines.all(|engine| !engine.runs().is_empty())
    });
    thread::sleep(Duration::from_millis(500));
    let read = deployment.read(0, "job-a", 0).expect("results");
    assert_eq!(read["results"], json!([]));
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults::default());
    }
    check_results(&deployment.read_all(0, "job-a", 4), &body);
}

/// Sends a request on a connection that is open already, and reads until its end.
fn answer_on(mut stream: TcpStream, id: &str) -> String {
    let head = format!(
        "POST /calls/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 3000\r\n\
         content-length: 4\r\n\r\nbody"
    );
    let mut bytes = Vec::new();
    // Both fail when the connection is reset; the answer is incomplete then.
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn requests_that_arrive_as_an_entry_stops_are_answered() {
    let mut deployment = one_service();
    let addr = deployment.entries[0].calls;
    deployment.entries[0].process().signal("TERM");
    wait_for("the entry has begun to stop", || {
        let log = deployment.entries[0].process().log();
        log.contains("event=stop ")
    });
    // Paused until the time for which it still accepts connections is over: the connections below
    // are accepted by the kernel, and the process finds all of them when it goes on, some with a
    // request and some whose request is about to follow.
    deployment.entries[0].process().signal("STOP");
    let connect = |_| TcpStream::connect(addr).expect("a connection");
    let early: Vec<TcpStream> = (0..8).map(connect).collect();
    let late: Vec<TcpStream> = (0..8).map(connect).collect();
    let ask = |streams: Vec<TcpStream>, name: &'static str| {
        let clients = streams
            .into_iter()
            .enumerate()
            .map(|(n, stream)| thread::spawn(move || answer_on(stream, &format!("{name}-{n}"))));
        clients.collect::<Vec<_>>()
    };
    let mut clients = ask(early, "early");
    thread::sleep(Duration::from_millis(3500));
    deployment.entries[0].process().signal("CONT");
    wait_for("the entry accepts no more connections", || {
        TcpStream::connect(addr).is_err()
    });
    clients.extend(ask(late, "late"));
    for client in clients {
        let text = client.join().expect("a client");
        assert!(text.starts_with("HTTP/1.1 200 "), "{text:?}");
    }
    let process = deployment.entries[0].process.as_mut().expect("a process");
    assert_eq!(process.wait(), Some(0));
}

/// Starts a deployment with a route for streams to one engine.
fn streams() -> Deployment {
    let deployment = Deployment::start_with_streams(1, 1);
    wait_for("the route is in force", || {
        stream(&deployment, "warm", 1).contains("data: warm:1\n")
    });
    deployment
}

/// Requests a stream of `events` events and returns its text.
fn stream(deployment: &Deployment, id: &str, events: usize) -> String {
    let mut stream = deployment.open_stream(0, id, events, 60_000);
    let until = Instant::now() + CLIENT_PATIENCE;
    let (mut bytes, mut part) = (Vec::new(), [0; 4096]);
    while Instant::now() < until {
        match stream.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn a_stream_that_drips_bytes_without_an_event_is_broken_off() {
    let deployment = streams();
    deployment.engines[0].set_faults(EngineFaults {
        drip_after_event: 2,
        ..EngineFaults::default()
    });
    let started_at = Instant::now();
    let text = stream(&deployment, "drips", ENDLESS);
    assert!(text.contains("data: drips:2\n"), "{text}");
    assert!(!text.ends_with("\r\n0\r\n\r\n"), "{text}");
    assert!(started_at.elapsed() < CLIENT_PATIENCE);
    wait_for("the run is cancelled", || deployment.running() == 0);
}

#[test]
fn a_slow_but_sound_stream_is_not_cut() {
    let deployment = streams();
    deployment.engines[0].set_event_interval(Duration::from_millis(4500));
    let text = stream(&deployment, "slow", 3);
    assert!(text.contains("data: slow:3\n"), "{text}");
    assert!(text.ends_with("\r\n0\r\n\r\n"), "{text}");
}

#[test]
fn an_item_whose_run_drips_bytes_without_an_event_is_run_elsewhere() {
    let deployment = Deployment::start(SMALL);
    deployment.engines[0].set_faults(EngineFaults {
        drip_after_event: 2,
        ..EngineFaults::default()
    });
    let body = job(1, 1, 4, 5);
    deployment.submit(0, "job-a", &body);
    check_results(&deployment.read_all(0, "job-a", 8), &body);
    let dripping = deployment.engines[0].runs();
    assert!(
        !dripping.is_empty(),
        "no run began at the engine that drips"
    );
}

#[test]
fn an_item_of_a_slow_but_sound_engine_is_done() {
    let deployment = Deployment::start(DeploymentSize {
        engines: 1,
        ..SMALL
    });
    // Longer than the timeout of an event in a first run.
    deployment.engines[0].set_event_interval(Duration::from_millis(4500));
    let body = job(1, 1, 1, 1);
    deployment.submit(0, "job-a", &body);
    check_results(&deployment.read_all(0, "job-a", 2), &body);
}

/// Sends raw bytes to an address, and reads what comes back until the connection ends or nothing
/// has come for a while.
fn send_raw(addr: SocketAddr, bytes: &[u8]) {
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return;
    };
    // Errors are expected: the process may close the connection at any byte.
    let _ = stream.set_read_timeout(Some(Duration::from_millis(150)));
    let _ = stream.write_all(bytes);
    let _ = stream.read_to_end(&mut Vec::new());
}

/// Bodies that are no valid message of any call, or have extreme values.
fn odd_bodies() -> Vec<Vec<u8>> {
    let deep = "[".repeat(200_000);
    let max = u64::MAX;
    let report = json!({"agent": "agent-0", "process": max, "instance": "engine-0", "service": "llm",
        "engine": "127.0.0.1:1", "slots": max, "leaving": false, "weights": {"advisor": max},
        "loading": null, "event_us": max, "items": ["no-slash", "/", "a/b/c"], "waiting": ["", "x"],
        "config_version": max, "endpoints_digest": max});
    let pull = json!({"report": report, "parts": [{"key": "x/y", "run": max, "last_event": max,
        "text": "t", "versions": []}]});
    let outcomes = json!({"agent": "", "samples": [], "returned": [
        {"key": {"job": "none", "item": "none"}, "reason": "too-old", "progress":
            {"text": "", "versions": [max], "last_event": max}}]});
    vec![
        Vec::new(),
        b"{".to_vec(),
        b"null".to_vec(),
        b"[]".to_vec(),
        b"\xff\xfe\x00".to_vec(),
        deep.into_bytes(),
        report.to_string().into_bytes(),
        pull.to_string().into_bytes(),
        outcomes.to_string().into_bytes(),
    ]
}

/// Paths that entries and dispatchers serve, with odd names and numbers.
const ODD_PATHS: [&str; 14] = [
    "/jobs/a/results?after=18446744073709551615&wait_ms=1",
    "/jobs/a/accept",
    "/jobs/a/end",
    "/jobs//items/",
    "/jobs/%00%ff/items/x",
    "/pull",
    "/report",
    "/hand-in",
    "/news",
    "/-/lots/a?after=18446744073709551615",
    "/-/lots/a?after=-1",
    "/-/items/a?id=%ff",
    "/rollout/odd",
    "/calls/\u{7f}",
];

#[test]
fn malformed_messages_end_no_process() {
    let mut deployment = Deployment::start(SMALL);
    let addrs: Vec<SocketAddr> = deployment
        .nodes_mut()
        .flat_map(|node| [node.calls, node.ready, node.peers, node.metrics])
        .collect();
    let keep_alive = "keep-alive: timeout=18446744073709551615";
    for addr in addrs {
        for path in ODD_PATHS {
            for body in odd_bodies().iter().take(2) {
                let head = format!(
                    "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: odd\r\n{keep_alive}\r\n\
                     deadline-ms: 18446744073709551615\r\ncontent-length: {}\r\n\
                     connection: close\r\n\r\n",
                    body.len()
                );
                send_raw(addr, &[head.as_bytes(), body].concat());
            }
        }
        for bytes in [
            &b"\0\0\0\0"[..],
            b"GET",
            b"GET / HTTP/9.9\r\n\r\n",
            b"\r\n\r\n\r\n",
        ] {
            send_raw(addr, bytes);
        }
    }
    let peers: Vec<SocketAddr> = deployment.dispatchers.iter().map(|one| one.peers).collect();
    for addr in peers {
        for path in ODD_PATHS {
            for body in odd_bodies() {
                call(addr, "POST", path, &[("host", "x")], &body);
            }
        }
    }
    deployment
        .nodes_mut()
        .for_each(support::node::Node::expect_running);
    let body = job(1, 1, 2, 5);
    deployment.submit(0, "job-a", &body);
    check_results(&deployment.read_all(0, "job-a", 4), &body);
}

#[test]
fn extreme_objects_in_the_store_end_no_process() {
    let mut deployment = Deployment::start(SMALL);
    let max = u64::MAX;
    let mut engine = deployment.engines[0].entry("llm");
    engine["slots"] = json!(max);
    engine["cold_left_ms"] = json!(1e300);
    engine["born"] = json!(max);
    let mut service = deployment.services[0].entry("desk");
    service["slots"] = json!(max);
    let store = &deployment.store;
    store.put("servers", "engine-x", &engine);
    store.put("servers", "desk-0", &service);
    store.put(
        "versions",
        "none",
        &json!({"model": "none", "version": max}),
    );
    store.put("versions", "odd", &json!({"model": 7}));
    store.put("dispatchers", "odd", &json!("bytes"));
    store.put("dispatchers", "leader-x", &json!({"node": 1}));
    store.put("retirements", "dispatcher-9", &json!({"over_s": 1e300}));
    store.put(
        "jobs",
        "odd",
        &json!({"total": max, "submitted_unix_ms": max}),
    );
    store.put("job-ends", "odd", &json!(null));
    store.put("results", "odd", &json!({"samples": 3}));
    store.put("run-checkpoints", "odd", &json!([max]));
    store.put("dispatcher-pulses", "odd", &json!({"epoch": -1}));
    thread::sleep(Duration::from_millis(800));
    deployment
        .nodes_mut()
        .for_each(support::node::Node::expect_running);
    for n in 0..6 {
        let reply = get(&deployment, "/calls/x", &format!("id-{n}")).expect("an answer");
        assert_eq!(reply.status, 200);
    }
    let body = job(1, 1, 2, 5);
    deployment.submit(0, "job-a", &body);
    check_results(&deployment.read_all(0, "job-a", 4), &body);
    deployment
        .nodes_mut()
        .for_each(support::node::Node::expect_running);
}

/// Waits until the entry has removed service 0 from its endpoints.
fn wait_until_service_0_is_gone(deployment: &Deployment) {
    wait_for("the endpoint is removed", || {
        let log = deployment.entries[0].process().log();
        log.contains("event=endpoints-told endpoints=1 ")
    });
}

#[test]
fn a_left_endpoint_is_not_used_again_after_restarts_while_the_store_is_down() {
    let mut deployment = Deployment::start(DeploymentSize {
        services: 2,
        ..ONE_SERVICE
    });
    wait_for("the entry gets updates from the leader", || {
        let log = deployment.entries[0].process().log();
        log.contains("event=leader-regained")
    });
    deployment.store.remove("servers", "desk-0");
    wait_until_service_0_is_gone(&deployment);
    let before = deployment.services[0].calls_run().len();
    deployment.store.set_faults(STORE_DOWN);
    deployment.entries[0].kill();
    deployment.entries[0].start();
    for n in 0..10 {
        // Refused until the entry has a configuration.
        let _ = get(&deployment, "/calls/x", &format!("down-{n}"));
        thread::sleep(Duration::from_millis(100));
    }
    deployment.dispatchers[0].kill();
    deployment.dispatchers[0].start();
    deployment.store.set_faults(StoreFaults::default());
    wait_for("calls are served again", || {
        get(&deployment, "/calls/x", "up").is_some_and(|reply| reply.status == 200)
    });
    for n in 0..10 {
        let reply = get(&deployment, "/calls/x", &format!("up-{n}")).expect("an answer");
        assert_eq!(reply.status, 200);
    }
    assert_eq!(deployment.services[0].calls_run().len(), before);
}

#[test]
fn a_withdrawn_route_is_not_served_again_after_restarts_while_the_store_is_down() {
    let mut deployment = one_service();
    let mut config = support::config(5);
    config["routes"][0]["path_prefix"] = json!("/moved/");
    deployment.store.put("config", "main", &config);
    wait_for("the route is withdrawn", || {
        get(&deployment, "/calls/x", "gone").is_some_and(|reply| reply.status == 404)
    });
    let before = deployment.services[0].calls_run().len();
    deployment.store.set_faults(STORE_DOWN);
    deployment.entries[0].kill();
    deployment.entries[0].start();
    deployment.dispatchers[0].kill();
    deployment.dispatchers[0].start();
    let withdrawn = |n| {
        let reply = get(&deployment, "/calls/x", &format!("withdrawn-{n}"));
        assert!(reply.is_none_or(|reply| reply.status != 200));
    };
    for n in 0..10 {
        withdrawn(n);
        thread::sleep(Duration::from_millis(100));
    }
    deployment.store.set_faults(StoreFaults::default());
    wait_for("the new route is served", || {
        get(&deployment, "/moved/x", "moved").is_some_and(|reply| reply.status == 200)
    });
    (10..20).for_each(withdrawn);
    let calls = deployment.services[0].calls_run();
    let withdrawn = calls[before..]
        .iter()
        .filter(|req| req.path() == "/calls/x");
    assert_eq!(withdrawn.count(), 0);
}

#[test]
fn an_entry_that_was_paused_sends_no_call_whose_deadline_has_passed() {
    let deployment = one_service();
    for path in ["/calls/x", "/once/x"] {
        let addr = deployment.entries[0].calls;
        let mut stream = TcpStream::connect(addr).expect("a connection");
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: paused\r\ndeadline-ms: 800\r\n\
             content-length: 4\r\nconnection: close\r\n\r\nbo"
        );
        stream.write_all(head.as_bytes()).expect("a head is sent");
        // The entry reads the head, from which on the deadline counts.
        thread::sleep(Duration::from_millis(200));
        deployment.entries[0].process().signal("STOP");
        stream.write_all(b"dy").expect("the body is sent");
        thread::sleep(Duration::from_millis(1200));
        deployment.entries[0].process().signal("CONT");
        let mut text = String::new();
        let read = stream.read_to_string(&mut text);
        read.expect("a whole answer");
        assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
        assert_eq!(runs(&deployment, "paused"), 0);
    }
}
