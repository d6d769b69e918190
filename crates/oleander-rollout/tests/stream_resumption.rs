//! Streams that break while they run, and go on within the response that the client reads.

mod support;

use oleander_platform_standins::engine_faults::EngineFaults;
use oleander_platform_standins::run_record::RunRecord;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use support::deployment::Deployment;
use support::{HOST, read_text, wait_for};

const EVENTS: usize = 30;
/// Event within which or after which engines fail.
const FAULT_AT: u64 = 6;
/// Engines; every second one has another software version.
const ENGINES: usize = 4;
/// Time in which a client without events leaves.
const PATIENCE: Duration = Duration::from_secs(2);
/// Most attempts of the route.
const ATTEMPTS: usize = 3;

fn deployment() -> Deployment {
    let deployment = Deployment::start_with_streams(1, ENGINES);
    for engine in (1..ENGINES).step_by(2) {
        deployment.set_software(engine, "v2");
    }
    wait_for("the entry routes to all engines", || {
        read_stream(&deployment, "warm", 1);
        let log = deployment.entries[0].process().log();
        deployment.engines.iter().all(|engine| {
            let instance = format!(
                "instance={} software={}",
                engine.instance(),
                engine.software()
            );
            log.contains(&instance)
        })
    });
    deployment
}

/// Reads a stream below a path until its connection ends.
fn read_at(deployment: &Deployment, path: &str, id: &str, events: usize) -> String {
    let headers = [("host", HOST), ("request-id", id), ("deadline-ms", "60000")];
    read_text(deployment.open_stream_at(path, 0, events, &headers))
}

fn read_stream(deployment: &Deployment, id: &str, events: usize) -> String {
    read_at(deployment, "/chat/x", id, events)
}

fn set_faults(
    deployment: &Deployment,
    engines: impl IntoIterator<Item = usize>,
    faults: EngineFaults,
) {
    for engine in engines {
        deployment.engines[engine].set_faults(faults);
    }
}

/// Checks that a response has one head and each event once, in order, and is complete.
fn check_whole(text: &str, id: &str) {
    assert!(text.starts_with("HTTP/1.1 200 OK\r\n"), "{text}");
    assert_eq!(text.matches("server-stamp: ").count(), 1, "{text}");
    assert_eq!(data_of(text), expected(id, EVENTS), "{text}");
    assert!(text.ends_with("\r\n0\r\n\r\n"), "{text}");
}

/// Checks that a response has the first events once, in order, none of them cut, and is not complete.
fn check_broken(text: &str, id: &str, events: usize) {
    assert_eq!(data_of(text), expected(id, events), "{text}");
    assert!(!text.ends_with("\r\n0\r\n\r\n"), "{text}");
    assert!(text.ends_with("\n\n\r\n"), "{text}");
}

fn data_of(text: &str) -> Vec<&str> {
    let lines = text.lines();
    lines
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}

fn expected(id: &str, events: usize) -> Vec<String> {
    (1..=events)
        .map(|number| format!("{id}:{number}"))
        .collect()
}

/// Returns the runs of a request.
fn runs(deployment: &Deployment, id: &str) -> Vec<RunRecord> {
    let engines = deployment.engines.iter();
    let runs = engines.flat_map(|engine| engine.runs());
    runs.filter(|run| run.id == id).collect()
}

/// Checks that a stream went on once, after the event `after`, at the version that began it.
fn check_resumed_once(deployment: &Deployment, id: &str, after: u64) {
    let mut runs = runs(deployment, id);
    runs.sort_by_key(|run| run.after_event);
    let after_events: Vec<u64> = runs.iter().map(|run| run.after_event).collect();
    assert_eq!(after_events, [0, after]);
    assert_eq!(runs[0].software, runs[1].software);
}

#[test]
fn stream_that_breaks_within_an_event_goes_on_after_the_last_whole_one() {
    let deployment = deployment();
    let faults = EngineFaults {
        break_at_event: FAULT_AT,
        ..EngineFaults::default()
    };
    set_faults(&deployment, 0..ENGINES, faults);
    for n in 0..8 {
        let id = format!("cut-{n}");
        check_whole(&read_stream(&deployment, &id, EVENTS), &id);
        check_resumed_once(&deployment, &id, FAULT_AT - 1);
    }
}

#[test]
fn stream_of_an_engine_that_crashes_goes_on_at_another_one_of_its_version() {
    let deployment = deployment();
    let faults = EngineFaults {
        crash_after_event: FAULT_AT,
        only_at_starts: true,
        ..EngineFaults::default()
    };
    set_faults(&deployment, 0..ENGINES, faults);
    for n in 0..8 {
        let id = format!("crash-{n}");
        check_whole(&read_stream(&deployment, &id, EVENTS), &id);
        check_resumed_once(&deployment, &id, FAULT_AT);
        for engine in &deployment.engines {
            engine.listen_again();
            wait_for("the engine listens again", || {
                TcpStream::connect(engine.addr()).is_ok()
            });
        }
    }
}

#[test]
fn stalled_stream_goes_on_before_its_client_leaves() {
    let deployment = deployment();
    let faults = EngineFaults {
        drip_after_event: FAULT_AT,
        only_at_starts: true,
        ..EngineFaults::default()
    };
    set_faults(&deployment, 0..ENGINES, faults);
    for n in 0..8 {
        let id = format!("stall-{n}");
        let started_at = Instant::now();
        check_whole(&read_stream(&deployment, &id, EVENTS), &id);
        check_resumed_once(&deployment, &id, FAULT_AT);
        assert!(started_at.elapsed() < PATIENCE + Duration::from_secs(1));
    }
    wait_for("no engine works on a stream that was left", || {
        deployment.running() == 0
    });
}

#[test]
fn stream_is_broken_off_after_the_attempts_of_its_route() {
    let deployment = deployment();
    let faults = EngineFaults {
        drip_after_event: FAULT_AT,
        ..EngineFaults::default()
    };
    set_faults(&deployment, 0..ENGINES, faults);
    // Further attempts stall before their first event.
    check_broken(
        &read_stream(&deployment, "hopeless", EVENTS),
        "hopeless",
        FAULT_AT as usize,
    );
    assert_eq!(runs(&deployment, "hopeless").len(), ATTEMPTS);
}

#[test]
fn stream_without_another_endpoint_of_its_version_is_broken_off_at_once() {
    let deployment = deployment();
    for engine in 2..ENGINES {
        let instance = deployment.engines[engine].instance();
        deployment.store.remove("servers", &instance);
    }
    // Until then, the stream may begin at an engine without a fault.
    wait_for("the entry knows the two engines that are left", || {
        let log = deployment.entries[0].process().log();
        let mut told = log
            .lines()
            .filter(|line| line.contains("event=endpoints-told"));
        told.next_back()
            .is_some_and(|line| line.contains("endpoints=2 "))
    });
    let faults = EngineFaults {
        crash_after_event: FAULT_AT,
        ..EngineFaults::default()
    };
    set_faults(&deployment, 0..2, faults);
    let started_at = Instant::now();
    check_broken(
        &read_stream(&deployment, "alone", EVENTS),
        "alone",
        FAULT_AT as usize,
    );
    assert!(started_at.elapsed() < PATIENCE);
    let software: Vec<String> = runs(&deployment, "alone")
        .into_iter()
        .map(|run| run.software)
        .collect();
    assert_eq!(software.len(), 1, "{software:?}");
}

#[test]
fn repeated_event_is_not_relayed_twice() {
    let deployment = deployment();
    let faults = EngineFaults {
        repeat_event: FAULT_AT,
        ..EngineFaults::default()
    };
    set_faults(&deployment, 0..ENGINES, faults);
    check_whole(&read_stream(&deployment, "twice", EVENTS), "twice");
    check_resumed_once(&deployment, "twice", FAULT_AT);
}

#[test]
fn stream_without_event_numbers_is_relayed_and_not_resumed() {
    let deployment = deployment();
    let unnumbered = EngineFaults {
        unnumbered: true,
        ..EngineFaults::default()
    };
    set_faults(&deployment, 0..ENGINES, unnumbered);
    check_whole(&read_stream(&deployment, "plain", EVENTS), "plain");
    let broken = EngineFaults {
        break_at_event: FAULT_AT,
        ..unnumbered
    };
    set_faults(&deployment, 0..ENGINES, broken);
    check_broken(
        &read_stream(&deployment, "odd", EVENTS),
        "odd",
        FAULT_AT as usize - 1,
    );
    assert_eq!(runs(&deployment, "odd").len(), 1);
}

#[test]
fn lost_response_of_a_stream_that_may_be_resumed_is_asked_for_again() {
    let deployment = deployment();
    let faults = EngineFaults {
        stray_answers: true,
        ..EngineFaults::default()
    };
    set_faults(&deployment, 0..2, faults);
    for n in 0..8 {
        let id = format!("lost-{n}");
        check_whole(&read_stream(&deployment, &id, EVENTS), &id);
    }
}
