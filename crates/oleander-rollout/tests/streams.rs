//! Streams of events on routes for interactive calls, through real processes.

mod support;

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use support::deployment::Deployment;
use support::{read_text, wait_for};

/// Events of a run that lasts longer than each test.
const ENDLESS: usize = 100_000;

/// Starts a deployment with a route for streams to the engines.
fn deployment() -> Deployment {
    let deployment = Deployment::start_with_streams(1, 2);
    wait_for("the route is in force", || {
        read_text(open(&deployment, "warm", 1)).contains("data: warm:1\n")
    });
    deployment
}

/// Requests a stream of `events` events and returns the connection.
fn open(deployment: &Deployment, id: &str, events: usize) -> TcpStream {
    deployment.open_stream(0, id, events, 60_000)
}

/// Whether the response ends with the last chunk of its transfer encoding.
fn is_complete(text: &str) -> bool {
    text.ends_with("\r\n0\r\n\r\n")
}

/// Returns the data of the events in a response.
fn events_of(text: &str) -> Vec<&str> {
    let lines = text.lines();
    lines
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}

/// Returns how often the request with this id has run at all engines.
fn runs(deployment: &Deployment, id: &str) -> usize {
    let engines = deployment.engines.iter();
    let runs = engines.flat_map(|engine| engine.runs());
    runs.filter(|run| run.id == id).count()
}

#[test]
fn stream_is_relayed_complete_and_in_order() {
    let deployment = deployment();
    let text = read_text(open(&deployment, "whole", 20));
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text}");
    assert!(text.contains("server-stamp: run-whole\r\n"), "{text}");
    assert!(text.contains("request-id: whole\r\n"), "{text}");
    let expected: Vec<String> = (1..=20).map(|number| format!("whole:{number}")).collect();
    assert_eq!(events_of(&text), expected);
    assert!(is_complete(&text), "{text}");
    assert_eq!(runs(&deployment, "whole"), 1);
}

#[test]
fn events_are_relayed_during_the_run() {
    let deployment = deployment();
    let mut lines = BufReader::new(open(&deployment, "early", ENDLESS)).lines();
    let first = lines.find(|line| line.as_ref().is_ok_and(|line| line == "data: early:1"));
    assert!(first.is_some());
    assert_eq!(deployment.running(), 1);
}

#[test]
fn broken_stream_does_not_look_complete_and_is_not_retried() {
    let deployment = deployment();
    for engine in &deployment.engines {
        engine.set_faults(oleander_platform_standins::engine_faults::EngineFaults {
            break_at_event: 5,
            ..Default::default()
        });
    }
    let text = read_text(open(&deployment, "broken", 20));
    assert_eq!(events_of(&text).len(), 4, "{text}");
    assert!(!is_complete(&text), "{text}");
    assert_eq!(runs(&deployment, "broken"), 1);
}

#[test]
fn client_that_disconnects_cancels_its_run() {
    let deployment = deployment();
    let mut stream = open(&deployment, "left", ENDLESS);
    let mut bytes = [0; 64];
    assert!(stream.read(&mut bytes).is_ok_and(|count| count > 0));
    wait_for("the stream runs", || deployment.running() == 1);
    drop(stream);
    wait_for("the run has ended", || deployment.running() == 0);
}

#[test]
fn engine_restarted_as_another_instance_runs_no_stream_for_the_former_one() {
    let deployment = deployment();
    deployment.engines[0].restart_as("another");
    deployment.engines[1].restart_as("yet-another");
    let text = read_text(open(&deployment, "meant", 3));
    assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
    assert_eq!(runs(&deployment, "meant"), 0);
}
