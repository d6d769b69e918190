//! A planned stop of an entry: each request that it has read is answered.

mod support;

use oleander_platform_standins::call_behavior::CallBehavior;
use std::io::Write as _;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::http::send;
use support::{HOST, config, read_text, wait_for};

/// Time within which a changed configuration must be in force.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Time after the signal at which the load balancer no longer sends requests to the entry.
const LATE: Duration = Duration::from_millis(3500);

/// Starts a deployment of an entry and a service that never answers, whose routes allow 20 s.
fn start() -> Deployment {
    let deployment = Deployment::start(DeploymentSize {
        entries: 1,
        engines: 0,
        dispatchers: 1,
        services: 1,
    });
    let mut config = config(2);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = 20_000.into();
    }
    deployment.store.put("config", "main", &config);
    thread::sleep(CONFIG_BOUND);
    deployment.services[0].set_default_behavior(CallBehavior::RunOn);
    deployment
}

fn open(deployment: &Deployment, path: &str, id: &str) -> TcpStream {
    let headers = [("host", HOST), ("request-id", id), ("deadline-ms", "15000")];
    let addr = deployment.entries[0].calls;
    send(addr, "POST", path, &headers, b"body").expect("a connection")
}

// Guards against requests that end without an answer at the end of the grace period.
#[test]
fn a_request_in_flight_at_the_end_of_the_grace_period_is_answered() {
    let mut deployment = start();
    let safe = open(&deployment, "/calls/x", "safe");
    let not_repeatable = open(&deployment, "/once/x", "once");
    wait_for("the requests run", || {
        deployment.services[0].calls_run().len() >= 2
    });
    deployment.entries[0].process().signal("TERM");
    for stream in [safe, not_repeatable] {
        let text = read_text(stream);
        assert!(text.starts_with("HTTP/1.1 504 "), "{text:?}");
    }
    let process = deployment.entries[0].process.as_mut().expect("a process");
    assert_eq!(process.wait(), Some(0));
}

// Guards against requests that may not be repeated and are passed on so late in the grace period that
// their answer can't be awaited.
#[test]
fn a_late_request_that_may_not_be_repeated_is_refused_and_has_not_run() {
    let mut deployment = start();
    let addr = deployment.entries[0].calls;
    let mut stream = TcpStream::connect(addr).expect("a connection");
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: late\r\ndeadline-ms: 15000\r\n\
         content-length: 4\r\n\r\nbo"
    );
    stream.write_all(head.as_bytes()).expect("a head");
    thread::sleep(Duration::from_millis(100));
    deployment.entries[0].process().signal("TERM");
    thread::sleep(LATE);
    stream.write_all(b"dy").expect("the rest of the body");
    let text = read_text(stream);
    assert!(text.starts_with("HTTP/1.1 503 "), "{text:?}");
    assert_eq!(deployment.services[0].calls_run().len(), 0);
    let process = deployment.entries[0].process.as_mut().expect("a process");
    assert_eq!(process.wait(), Some(0));
}
