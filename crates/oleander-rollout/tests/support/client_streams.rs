//! Streams as clients begin, break and resume them, for tests with two software versions.

use super::deployment::Deployment;
use super::deployment_size::DeploymentSize;
use super::http::call;
use super::{HOST, config_with_streams, read_text, wait_for};
use std::io::{BufRead, BufReader, Read as _};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};

/// Events of each stream.
pub const EVENTS: usize = 40;
/// Events that a client has read when the connection of its first attempt breaks.
pub const EVENTS_READ: u64 = 3;
pub const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Starts a deployment of two entries and two engines of each software version.
pub fn deployment_of_two_versions() -> Deployment {
    let deployment = Deployment::start(DeploymentSize {
        entries: 2,
        engines: 4,
        dispatchers: 3,
        services: 0,
    });
    deployment
        .store
        .put("config", "main", &config_with_streams(2));
    for engine in 2..4 {
        deployment.set_software(engine, VERSIONS[1]);
    }
    for entry in 0..2 {
        wait_for_versions(&deployment, entry, &VERSIONS);
    }
    deployment
}

/// Returns an id that no other request of this process has.
pub fn new_id(name: &str) -> String {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    format!("{name}-{}", NUMBER.fetch_add(1, Ordering::Relaxed))
}

/// Waits until an entry has sent streams to engines of these software versions.
pub fn wait_for_versions(deployment: &Deployment, entry: usize, versions: &[&str]) {
    let mut seen: Vec<Option<String>> = Vec::new();
    wait_for("the entry routes to all versions", || {
        let id = new_id("warm");
        read_text(open(deployment, entry, &id, 1, &[]));
        seen.push(version_of(deployment, &id));
        let is_seen = |version: &&str| seen.iter().flatten().any(|one| one == version);
        versions.iter().all(is_seen)
    });
}

/// Requests a stream of `events` events with these headers and returns the connection.
pub fn open(
    deployment: &Deployment,
    entry: usize,
    id: &str,
    events: usize,
    headers: &[(&str, &str)],
) -> TcpStream {
    let mut all = vec![("host", HOST), ("request-id", id), ("deadline-ms", "60000")];
    all.extend_from_slice(headers);
    deployment.open_stream_at("/chat/x", entry, events, &all)
}

/// Begins a stream at an entry and returns its connection once event [`EVENTS_READ`] has arrived.
pub fn begin(deployment: &Deployment, entry: usize, id: &str) -> BufReader<TcpStream> {
    read_to(open(deployment, entry, id, EVENTS, &[]), id, EVENTS_READ)
}

/// Resumes the stream `of` after event `after` and returns the connection once event `until` has
/// arrived.
pub fn resume_to(
    deployment: &Deployment,
    entry: usize,
    (id, of): (&str, &str),
    (after, until): (u64, u64),
) -> BufReader<TcpStream> {
    let after = after.to_string();
    let headers = [("last-event-id", after.as_str()), ("resumes", of)];
    read_to(open(deployment, entry, id, EVENTS, &headers), id, until)
}

/// Resumes the stream `of` after event `after` and returns the whole response.
pub fn resume(deployment: &Deployment, entry: usize, (id, of): (&str, &str), after: u64) -> String {
    let after = after.to_string();
    let headers = [("last-event-id", after.as_str()), ("resumes", of)];
    read_text(open(deployment, entry, id, EVENTS, &headers))
}

fn read_to(stream: TcpStream, id: &str, event: u64) -> BufReader<TcpStream> {
    let mut reader = BufReader::new(stream);
    let last = format!("data: {id}:{event}");
    let found = reader
        .by_ref()
        .lines()
        .any(|line| line.is_ok_and(|line| line == last));
    assert!(found, "{id} ends before event {event}");
    reader
}

/// Returns the software version of the engine that first ran the request with this id, at the time.
pub fn version_of(deployment: &Deployment, id: &str) -> Option<String> {
    let mut engines = deployment.engines.iter();
    engines.find_map(|engine| {
        let mut runs = engine.runs().into_iter();
        runs.find(|run| run.id == id).map(|run| run.software)
    })
}

/// Checks that the response resumes the stream `first` after event `after`, to its end and at the
/// version that began it.
pub fn check_resumed(deployment: &Deployment, (id, first): (&str, &str), after: u64, text: &str) {
    assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
    let next = format!("data: {id}:{}\n", after + 1);
    let last = format!("data: {id}:{EVENTS}\n");
    assert!(text.contains(&next) && text.contains(&last), "{text}");
    assert!(!text.contains(&format!("data: {id}:{after}\n")));
    assert_eq!(
        version_of(deployment, id),
        version_of(deployment, first),
        "{id} resumes {first}"
    );
}

/// Checks that a request was refused as not run, and that no engine has run it.
pub fn check_refused(deployment: &Deployment, id: &str, text: &str) {
    let ran_at = version_of(deployment, id);
    assert!(text.starts_with("HTTP/1.1 503 "), "at {ran_at:?}: {text}");
    assert!(text.contains("retry-after: "), "{text}");
    assert_eq!(version_of(deployment, id), None, "{id}");
}

/// Kills all entries at once, calls `meanwhile` and starts them again.
pub fn cut_power(deployment: &mut Deployment, meanwhile: impl FnOnce(&mut Deployment)) {
    for entry in &mut deployment.entries {
        entry.kill();
    }
    meanwhile(deployment);
    for entry in &mut deployment.entries {
        entry.start();
    }
    for entry in &deployment.entries {
        wait_for("the entry is ready", || {
            let reply = call(entry.ready, "GET", "/-/ready", &[], b"");
            reply.is_some_and(|reply| reply.status == 200)
        });
    }
}
