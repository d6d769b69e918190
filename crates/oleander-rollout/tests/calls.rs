//! Interactive calls through real processes: complete responses, refusals only of calls that have
//! not run, graceful stops.

mod support;

use oleander_platform_standins::call_behavior::CallBehavior;
use oleander_platform_standins::store_faults::StoreFaults;
use std::io::Read;
use std::thread;
use std::time::Duration;
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::http::{Reply, call, send};
use support::{HOST, wait_for};

const ONE_ENTRY: DeploymentSize = DeploymentSize {
    entries: 1,
    engines: 0,
    dispatchers: 1,
    services: 2,
};

/// Starts a deployment and waits until calls reach its services.
fn deployment() -> Deployment {
    let deployment = Deployment::start(ONE_ENTRY);
    wait_for("the entry knows the endpoints", || {
        get(&deployment, "/calls/x", "warm").is_some_and(is_ok)
    });
    deployment
}

/// Calls an entry with a body, deadline and header of the client.
fn get(deployment: &Deployment, path: &str, id: &str) -> Option<Reply> {
    let headers = [
        ("request-id", id),
        ("deadline-ms", "1400"),
        ("x-mine", "kept"),
    ];
    deployment.call(0, "POST", path, &headers, b"body bytes")
}

fn is_ok(reply: Reply) -> bool {
    reply.status == 200
}

/// Returns how often the call with this id has run at all services.
fn runs(deployment: &Deployment, id: &str) -> usize {
    let all = deployment
        .services
        .iter()
        .flat_map(|service| service.calls_run());
    all.filter(|req| req.header("request-id") == Some(id))
        .count()
}

#[test]
fn a_call_reaches_its_service_unchanged() {
    let deployment = deployment();
    let path = "/calls/a%2Fb/../c;d?q=%20x&y";
    let reply = get(&deployment, path, "same").expect("an answer");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.body, b"for same");
    assert_eq!(reply.headers["server-stamp"], "stamp-same");
    assert_eq!(reply.headers["request-id"], "same");
    let all: Vec<_> = deployment
        .services
        .iter()
        .flat_map(|service| service.calls_run())
        .collect();
    let req = all
        .iter()
        .find(|req| req.header("request-id") == Some("same"));
    let req = req.expect("a run");
    assert_eq!((req.method.as_str(), req.target.as_str()), ("POST", path));
    assert_eq!(req.body, b"body bytes");
    assert_eq!(req.header("host"), Some(HOST));
    assert_eq!(req.header("x-mine"), Some("kept"));
    let left: u64 = req
        .header("deadline-ms")
        .expect("a deadline")
        .parse()
        .expect("a number");
    assert!(left <= 1400);
    assert!(req.header("expect-instance").is_some());
}

/// Sets the behavior of every endpoint for its next call.
fn set_next_behavior(deployment: &Deployment, behavior: CallBehavior) {
    for service in &deployment.services {
        service.set_next_behaviors(&[behavior]);
    }
}

#[test]
fn idempotent_call_survives_broken_responses() {
    let broken = [
        CallBehavior::LoseAnswer,
        CallBehavior::Truncate,
        CallBehavior::OtherId,
        CallBehavior::Refuse,
        CallBehavior::Fail,
    ];
    for behavior in broken {
        let deployment = deployment();
        deployment.services[0].set_default_behavior(behavior);
        for n in 0..6 {
            let id = format!("id-{n}");
            let reply = get(&deployment, "/calls/x", &id).expect("an answer");
            assert_eq!(reply.body, format!("for {id}").as_bytes(), "{behavior:?}");
        }
    }
}

#[test]
fn a_call_that_runs_once_is_not_repeated_when_it_may_have_run() {
    for behavior in [
        CallBehavior::LoseAnswer,
        CallBehavior::Truncate,
        CallBehavior::OtherId,
        CallBehavior::Busy,
    ] {
        let deployment = deployment();
        set_next_behavior(&deployment, behavior);
        let reply = get(&deployment, "/once/x", "once").expect("an answer");
        assert_eq!(reply.status, 502, "{behavior:?}");
        assert!(!reply.headers.contains_key("server-stamp"));
        assert_eq!(runs(&deployment, "once"), 1);
    }
}

#[test]
fn failure_of_the_endpoint_is_relayed_unchanged() {
    let deployment = deployment();
    set_next_behavior(&deployment, CallBehavior::Fail);
    let reply = get(&deployment, "/once/x", "fails").expect("an answer");
    assert_eq!(
        (reply.status, reply.body.as_slice()),
        (500, b"failed".as_slice())
    );
    assert_eq!(reply.headers["server-stamp"], "stamp-fails");
    assert_eq!(runs(&deployment, "fails"), 1);
}

#[test]
fn refused_call_has_not_run() {
    let deployment = deployment();
    for service in &deployment.services {
        service.set_default_behavior(CallBehavior::Refuse);
    }
    let reply = get(&deployment, "/once/x", "refused").expect("an answer");
    assert_eq!(reply.status, 503);
    let seconds: f64 = reply.headers["retry-after"].parse().expect("seconds");
    assert!(seconds > 0.0 && seconds <= 1.0);
    assert_eq!(runs(&deployment, "refused"), 0);
    let refused = deployment
        .services
        .iter()
        .map(|service| service.calls_refused().len());
    assert_eq!(refused.sum::<usize>(), 2);
}

#[test]
fn stray_bytes_belong_to_no_call() {
    let deployment = deployment();
    for service in &deployment.services {
        service.set_default_behavior(CallBehavior::AnswerTwice);
    }
    for n in 0..12 {
        let id = format!("stray-{n}");
        let reply = get(&deployment, "/calls/x", &id).expect("an answer");
        assert_eq!(reply.body, format!("for {id}").as_bytes());
    }
}

#[test]
fn idempotent_call_is_retried_at_endpoints_that_lost_its_response() {
    for behavior in [CallBehavior::LoseAnswer, CallBehavior::OtherId] {
        let deployment = deployment();
        set_next_behavior(&deployment, behavior);
        let reply = get(&deployment, "/calls/x", "thrice").expect("an answer");
        assert_eq!(reply.body, b"for thrice", "{behavior:?}");
        assert_eq!(runs(&deployment, "thrice"), 3);
    }
}

#[test]
fn call_is_refused_after_each_endpoint_has_refused_it_once() {
    let deployment = deployment();
    for service in &deployment.services {
        service.set_default_behavior(CallBehavior::Refuse);
    }
    let reply = get(&deployment, "/calls/x", "full").expect("an answer");
    assert_eq!(reply.status, 503);
    let refused = deployment
        .services
        .iter()
        .map(|one| one.calls_refused().len());
    assert_eq!(refused.sum::<usize>(), 2);
}

#[test]
fn client_that_disconnects_cancels_its_run() {
    let deployment = deployment();
    set_next_behavior(&deployment, CallBehavior::RunOn);
    let headers = [
        ("host", HOST),
        ("request-id", "leaves"),
        ("deadline-ms", "1400"),
    ];
    let addr = deployment.entries[0].calls;
    let stream = send(addr, "POST", "/once/x", &headers, b"body");
    wait_for("the call runs", || runs(&deployment, "leaves") == 1);
    drop(stream);
    wait_for("the run is cancelled", || {
        deployment
            .services
            .iter()
            .any(|service| !service.cancelled_run_durations().is_empty())
    });
    // The route's timeout would close it after 1,500 ms.
    let closed = deployment
        .services
        .iter()
        .flat_map(|service| service.cancelled_run_durations());
    assert!(
        closed
            .into_iter()
            .all(|after| after < Duration::from_millis(1300))
    );
}

#[test]
fn slow_call_gets_status_504_at_the_timeout() {
    let deployment = deployment();
    for service in &deployment.services {
        service.set_default_behavior(CallBehavior::RunOn);
    }
    let reply = get(&deployment, "/once/x", "slow").expect("an answer");
    assert_eq!(reply.status, 504);
}

#[test]
fn draining_endpoint_gets_no_new_calls() {
    let deployment = deployment();
    let mut entry = deployment.services[0].entry("desk");
    entry["state"] = "draining".into();
    deployment.store.put("servers", "desk-0", &entry);
    thread::sleep(Duration::from_millis(300));
    let before = deployment.services[0].calls_run().len();
    for n in 0..8 {
        assert!(get(&deployment, "/calls/x", &format!("late-{n}")).is_some_and(is_ok));
    }
    assert_eq!(deployment.services[0].calls_run().len(), before);
}

#[test]
fn malformed_endpoint_objects_do_not_affect_others() {
    let deployment = deployment();
    deployment.store.put("servers", "odd-1", &"bytes".into());
    deployment.store.put(
        "servers",
        "odd-2",
        &serde_json::json!({"service": "desk", "addr": 7}),
    );
    thread::sleep(Duration::from_millis(300));
    for n in 0..8 {
        assert!(get(&deployment, "/calls/x", &format!("odd-{n}")).is_some_and(is_ok));
    }
    let log = deployment.entries[0].process().log();
    assert_eq!(log.matches("event=endpoint-unreadable").count(), 2, "{log}");
}

#[test]
fn reused_address_runs_no_call_of_its_former_service() {
    let deployment = deployment();
    let before = deployment.services[0].calls_run().len();
    deployment.services[0].restart_as("of-another-service");
    for n in 0..10 {
        let id = format!("again-{n}");
        assert!(get(&deployment, "/calls/x", &id).is_some_and(is_ok));
        let headers = [("request-id", id.as_str()), ("deadline-ms", "1400")];
        let once = deployment.call(0, "POST", "/once/x", &headers, b"body");
        assert!(once.is_some_and(is_ok));
    }
    assert_eq!(deployment.services[0].calls_run().len(), before);
}

#[test]
fn stop_waits_for_calls_in_flight() {
    let mut deployment = deployment();
    set_next_behavior(&deployment, CallBehavior::RunOn);
    let headers = [
        ("host", HOST),
        ("request-id", "flying"),
        ("deadline-ms", "1400"),
    ];
    let addr = deployment.entries[0].calls;
    let stream = send(addr, "POST", "/once/x", &headers, b"body");
    wait_for("the call runs", || runs(&deployment, "flying") == 1);
    let ready = deployment.entries[0].ready;
    deployment.entries[0].process().signal("TERM");
    wait_for("the entry is not ready", || {
        call(ready, "GET", "/-/ready", &[], b"").is_some_and(|reply| reply.status == 503)
    });
    let late = get(&deployment, "/calls/x", "late").expect("an answer");
    assert_eq!(late.status, 200);
    assert_eq!(late.headers["connection"], "close");
    let mut bytes = Vec::new();
    stream
        .expect("a connection")
        .read_to_end(&mut bytes)
        .expect("the answer");
    assert!(
        bytes.starts_with(b"HTTP/1.1 504"),
        "{}",
        String::from_utf8_lossy(&bytes)
    );
    let process = deployment.entries[0]
        .process
        .as_mut()
        .expect("a running process");
    assert_eq!(process.wait(), Some(0));
}

#[test]
fn newer_configuration_takes_effect_and_older_one_does_not() {
    let deployment = deployment();
    let mut config = support::config(5);
    config["routes"][0]["path_prefix"] = "/moved/".into();
    deployment.store.put("config", "main", &config);
    wait_for("the new route is in force", || {
        get(&deployment, "/moved/x", "new").is_some_and(is_ok)
    });
    let gone = get(&deployment, "/calls/x", "gone").expect("an answer");
    assert_eq!(gone.status, 404);
    deployment.store.put("config", "main", &support::config(4));
    thread::sleep(Duration::from_millis(300));
    assert!(get(&deployment, "/moved/x", "still").is_some_and(is_ok));
}

#[test]
fn metrics_are_served_and_invalid_settings_rejected() {
    let deployment = deployment();
    let reply = call(deployment.entries[0].metrics, "GET", "/metrics", &[], b"");
    let text = String::from_utf8_lossy(&reply.expect("an answer").body).into_owned();
    assert!(
        text.contains("oleanderlock_latency_seconds_bucket"),
        "{text}"
    );
    let mut process =
        support::process::Process::start("bad", "entry", "[node]\nname = x\nnode = 1\n");
    assert_eq!(process.wait(), Some(2));
}

/// The store refuses new calls, but open watches stay connected.
const STORE_DOWN: StoreFaults = StoreFaults {
    down: true,
    keep_watches: true,
    lose_response_every: 0,
    hang_writes: false,
    lose_responses_of: None,
    odd_status_of: None,
    refused_kind: None,
    config_delay: Duration::ZERO,
};

/// Waits until the entry has received an update from the leader.
fn wait_for_leader_update(deployment: &Deployment) {
    wait_for("the entry receives an update from the leader", || {
        let log = deployment.entries[0].process().log();
        log.contains("event=leader-regained")
    });
}

#[test]
fn endpoints_that_expired_while_the_store_was_down_are_kept_for_a_time() {
    let deployment = deployment();
    wait_for("a dispatcher leads", || deployment.leader().is_some());
    deployment.store.set_faults(STORE_DOWN);
    // Long enough for the store to refuse a call of the leader.
    thread::sleep(Duration::from_secs(3));
    let entries = [0, 1].map(|n| deployment.services[n].entry("desk"));
    deployment.store.remove("servers", "desk-0");
    deployment.store.remove("servers", "desk-1");
    thread::sleep(Duration::from_millis(300));
    assert!(get(&deployment, "/calls/x", "away").is_some_and(is_ok));
    deployment.store.set_faults(StoreFaults::default());
    for n in 0..5 {
        thread::sleep(Duration::from_millis(200));
        assert!(get(&deployment, "/calls/x", &format!("back-{n}")).is_some_and(is_ok));
    }
    deployment.store.put("servers", "desk-0", &entries[0]);
    wait_for("the endpoint that is not back is removed", || {
        let before = deployment.services[1].calls_run().len();
        let served =
            (0..8).all(|n| get(&deployment, "/calls/x", &format!("later-{n}")).is_some_and(is_ok));
        assert!(served);
        deployment.services[1].calls_run().len() == before
    });
}

#[test]
fn endpoints_that_expired_when_leader_and_store_were_lost_are_kept_for_a_time() {
    let deployment = deployment();
    wait_for("a dispatcher leads", || deployment.leader().is_some());
    wait_for_leader_update(&deployment);
    deployment.dispatchers[0].process().signal("STOP");
    deployment.store.set_faults(STORE_DOWN);
    deployment.store.remove("servers", "desk-0");
    deployment.store.remove("servers", "desk-1");
    wait_for("the entry fails to read the list itself", || {
        let log = deployment.entries[0].process().log();
        log.contains("event=store-lost kind=servers")
    });
    assert!(get(&deployment, "/calls/x", "away").is_some_and(is_ok));
    deployment.store.set_faults(StoreFaults::default());
    for n in 0..5 {
        thread::sleep(Duration::from_millis(150));
        assert!(get(&deployment, "/calls/x", &format!("kept-{n}")).is_some_and(is_ok));
    }
    wait_for("the endpoints are removed", || {
        get(&deployment, "/calls/x", "gone").is_some_and(|reply| reply.status == 503)
    });
    deployment.dispatchers[0].process().signal("CONT");
}

#[test]
fn endpoints_that_expire_after_the_leader_was_lost_are_kept_while_the_store_is_down() {
    let deployment = Deployment::start(DeploymentSize {
        services: 1,
        ..ONE_ENTRY
    });
    wait_for_leader_update(&deployment);
    deployment.dispatchers[0].process().signal("STOP");
    wait_for("the entry watches the list itself", || {
        let log = deployment.entries[0].process().log();
        log.contains("event=leader-lost")
    });
    // Longer than the entry assumes, because of the lost leader, that the store is lost too.
    thread::sleep(Duration::from_millis(2500));
    deployment.store.set_faults(STORE_DOWN);
    deployment.store.remove("servers", "desk-0");
    for n in 0..10 {
        thread::sleep(Duration::from_millis(150));
        assert!(get(&deployment, "/calls/x", &format!("kept-{n}")).is_some_and(is_ok));
    }
    deployment.dispatchers[0].process().signal("CONT");
}
