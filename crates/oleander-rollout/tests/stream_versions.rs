//! Streams that clients resume at other entries, while engines of two software versions serve.

mod support;

use oleander_standins::free_address::free_address;
use serde_json::json;
use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::{HOST, config_with_streams, read_text, wait_for};

/// Streams of a test; if each resumed at either version by chance, one test in 65,536 would pass.
const STREAMS: usize = 16;
/// Events of each stream.
const EVENTS: usize = 40;
/// Events that the client has read when its connection breaks.
const EVENTS_READ: u64 = 3;
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Starts a deployment with two engines of each software version.
fn deployment() -> Deployment {
    let deployment = Deployment::start(DeploymentSize {
        entries: 2,
        engines: 4,
        dispatchers: 3,
        services: 0,
    });
    let config = config_with_streams(2);
    deployment.store.put("config", "main", &config);
    for engine in 2..4 {
        deployment.set_software(engine, VERSIONS[1]);
    }
    for entry in 0..2 {
        wait_for("the entry routes to both versions", || {
            let id = format!("warm-{entry}-{}", rand_suffix());
            read_text(open(&deployment, entry, &id, 1, &[]));
            let log = deployment.entries[entry].process().log();
            VERSIONS
                .iter()
                .all(|version| log.contains(&format!("software={version}")))
        });
    }
    deployment
}

/// Returns a text that differs from call to call.
fn rand_suffix() -> u128 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.expect("a time after 1970").as_nanos()
}

/// Requests a stream of `events` events with these headers and returns the connection.
fn open(
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

/// Begins a stream at an entry and breaks its connection after [`EVENTS_READ`] events.
fn begin(deployment: &Deployment, entry: usize, id: &str) {
    let stream = open(deployment, entry, id, EVENTS, &[]);
    let last = format!("data: {id}:{EVENTS_READ}");
    let mut lines = BufReader::new(stream).lines();
    assert!(
        lines.any(|line| line.is_ok_and(|line| line == last)),
        "{id}"
    );
}

/// Resumes the stream `of` as the attempt `id` and returns the response.
fn resume(deployment: &Deployment, entry: usize, id: &str, of: &str) -> String {
    let after = EVENTS_READ.to_string();
    let headers = [("last-event-id", after.as_str()), ("resumes", of)];
    read_text(open(deployment, entry, id, EVENTS, &headers))
}

/// Returns the software version of the engine that ran the request with this id.
fn version_of(deployment: &Deployment, id: &str) -> Option<String> {
    let ran = |engine: &&oleander_platform_standins::stand_in_engine::StandInEngine| {
        engine.runs().iter().any(|run| run.id == id)
    };
    let engine = deployment.engines.iter().find(ran)?;
    Some(engine.software())
}

/// Checks that the streams go on at the version that began them, after their last event.
fn check_resumed(deployment: &Deployment, entry: usize) {
    for n in 0..STREAMS {
        let (first, second) = (format!("first-{n}"), format!("second-{n}"));
        let text = resume(deployment, entry, &second, &first);
        assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
        let next = format!("data: {second}:{}\n", EVENTS_READ + 1);
        let last = format!("data: {second}:{EVENTS}\n");
        assert!(text.contains(&next) && text.contains(&last), "{text}");
        assert!(!text.contains(&format!("data: {second}:{EVENTS_READ}\n")));
        assert_eq!(
            version_of(deployment, &second),
            version_of(deployment, &first),
            "{first}"
        );
    }
}

/// Checks that a request is refused as not run, and that no engine has run it.
fn check_refused(deployment: &Deployment, id: &str, text: &str) {
    assert!(text.starts_with("HTTP/1.1 503 "), "{text}");
    assert!(text.contains("retry-after: "), "{text}");
    assert_eq!(version_of(deployment, id), None, "{id}");
}

#[test]
fn stream_resumed_at_another_entry_goes_on_at_the_version_that_began_it() {
    let deployment = deployment();
    for n in 0..STREAMS {
        begin(&deployment, 0, &format!("first-{n}"));
    }
    check_resumed(&deployment, 1);
}

#[test]
fn stream_whose_entry_was_killed_goes_on_at_the_version_that_began_it() {
    let mut deployment = deployment();
    for n in 0..STREAMS {
        begin(&deployment, 0, &format!("first-{n}"));
    }
    deployment.entries[0].kill();
    check_resumed(&deployment, 1);
}

#[test]
fn stream_resumed_at_its_entry_after_a_restart_goes_on_at_the_version_that_began_it() {
    let mut deployment = deployment();
    for n in 0..STREAMS {
        begin(&deployment, 0, &format!("first-{n}"));
    }
    deployment.entries[0].kill();
    deployment.entries[0].start();
    let ready = deployment.entries[0].ready;
    wait_for("the entry is ready", || {
        let reply = support::http::call(ready, "GET", "/-/ready", &[], b"");
        reply.is_some_and(|reply| reply.status == 200)
    });
    wait_for("the entry knows endpoints", || {
        let id = format!("again-{}", rand_suffix());
        read_text(open(&deployment, 0, &id, 1, &[])).starts_with("HTTP/1.1 200 ")
    });
    check_resumed(&deployment, 0);
}

#[test]
fn stream_goes_on_after_the_loss_of_one_dispatcher() {
    let mut deployment = deployment();
    for n in 0..STREAMS {
        begin(&deployment, 0, &format!("first-{n}"));
    }
    let leader = deployment.leader().expect("a leader");
    deployment.dispatchers[leader].kill();
    deployment.entries[0].kill();
    check_resumed(&deployment, 1);
}

#[test]
fn stream_goes_on_while_dispatchers_are_listed_that_are_gone() {
    let mut deployment = deployment();
    for n in 0..5 {
        let gone = json!({"addr": free_address().expect("a free address").to_string()});
        deployment
            .store
            .put("dispatchers", &format!("node-gone-{n}"), &gone);
    }
    for n in 0..STREAMS {
        begin(&deployment, 0, &format!("first-{n}"));
    }
    deployment.entries[0].kill();
    check_resumed(&deployment, 1);
}

#[test]
fn stream_whose_version_has_left_is_refused() {
    let deployment = deployment();
    for n in 0..STREAMS {
        begin(&deployment, 0, &format!("first-{n}"));
    }
    for engine in 0..2 {
        let engine = &deployment.engines[engine];
        deployment.store.remove("servers", &engine.instance());
    }
    wait_for("only one version is left", || {
        (0..4).all(|n| {
            let id = format!("left-{n}-{}", rand_suffix());
            read_text(open(&deployment, 1, &id, 1, &[]));
            version_of(&deployment, &id).as_deref() == Some(VERSIONS[1])
        })
    });
    let mut refused = 0;
    for n in 0..STREAMS {
        let (first, second) = (format!("first-{n}"), format!("second-{n}"));
        let text = resume(&deployment, 1, &second, &first);
        if version_of(&deployment, &first).as_deref() == Some(VERSIONS[1]) {
            assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
        } else {
            check_refused(&deployment, &second, &text);
            refused += 1;
        }
    }
    assert!(refused > 0);
}

// Guards against streams that go on at another version at an entry that stood still while engines of a
// newer version joined: its endpoint list is old.
#[test]
fn stream_taken_up_at_an_entry_that_stood_still_goes_on_at_its_version_or_is_refused() {
    let deployment = Deployment::start(DeploymentSize {
        entries: 2,
        engines: 4,
        dispatchers: 3,
        services: 0,
    });
    let config = config_with_streams(2);
    deployment.store.put("config", "main", &config);
    wait_for("the entries route to the engines", || {
        (0..2).all(|entry| {
            let id = format!("warm-{entry}-{}", rand_suffix());
            let text = read_text(open(&deployment, entry, &id, 1, &[]));
            text.starts_with("HTTP/1.1 200 ")
        })
    });
    deployment.entries[1].process().signal("STOP");
    // One engine is replaced by a new instance, the other restarts under its id.
    deployment.set_software(2, VERSIONS[1]);
    let engine = &deployment.engines[3];
    engine.restart_in_place(VERSIONS[1], 2);
    deployment
        .store
        .put("servers", &engine.instance(), &engine.entry("llm"));
    wait_for("the other entry routes to both versions", || {
        let id = format!("warm-{}", rand_suffix());
        read_text(open(&deployment, 0, &id, 1, &[]));
        version_of(&deployment, &id).as_deref() == Some(VERSIONS[1])
    });
    for n in 0..STREAMS {
        begin(&deployment, 0, &format!("first-{n}"));
    }
    // The requests wait at the entry when it goes on, before it has a newer list.
    let after = EVENTS_READ.to_string();
    let resumed: Vec<TcpStream> = (0..STREAMS)
        .map(|n| {
            let (id, of) = (format!("second-{n}"), format!("first-{n}"));
            let headers = [("last-event-id", after.as_str()), ("resumes", of.as_str())];
            open(&deployment, 1, &id, EVENTS, &headers)
        })
        .collect();
    deployment.entries[1].process().signal("CONT");
    for (n, stream) in resumed.into_iter().enumerate() {
        let (first, second) = (format!("first-{n}"), format!("second-{n}"));
        let text = read_text(stream);
        if !text.starts_with("HTTP/1.1 200 ") {
            check_refused(&deployment, &second, &text);
            continue;
        }
        let versions = [&first, &second].map(|id| version_of(&deployment, id));
        assert_eq!(versions[0], versions[1], "{first}");
    }
}

#[test]
fn stream_that_is_not_known_is_refused() {
    let deployment = deployment();
    let after = ("last-event-id", "3");
    let cases: [(&str, &[(&str, &str)]); 4] = [
        ("unknown", &[after, ("resumes", "never-begun")]),
        ("unnamed", &[after]),
        ("empty", &[after, ("resumes", "")]),
        ("odd", &[after, ("resumes", "a/../b?c=\u{e9}")]),
    ];
    for (id, headers) in cases {
        let text = read_text(open(&deployment, 0, id, EVENTS, headers));
        check_refused(&deployment, id, &text);
    }
}

#[test]
fn last_event_that_is_no_number_is_an_invalid_request() {
    let deployment = deployment();
    begin(&deployment, 0, "first-0");
    for (n, after) in ["x", "", "-1", "99999999999999999999999"]
        .iter()
        .enumerate()
    {
        let id = format!("bad-{n}");
        let headers = [("last-event-id", *after), ("resumes", "first-0")];
        let text = read_text(open(&deployment, 0, &id, EVENTS, &headers));
        assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
        assert_eq!(version_of(&deployment, &id), None);
    }
}

#[test]
fn stream_of_a_divided_route_goes_on_at_the_service_that_began_it() {
    let deployment = deployment();
    let mut config = config_with_streams(3);
    let routes = config["routes"].as_array_mut().expect("routes");
    for route in routes.iter_mut().filter(|route| route["name"] == "chat") {
        route.as_object_mut().expect("a route").remove("service");
        route["split"] =
            json!([{"service": "llm", "weight": 1}, {"service": "other", "weight": 1}]);
    }
    let services = config["services"].as_array_mut().expect("services");
    services.push(json!({"name": "other", "health_path": "/health", "max_conns": 100}));
    // The versions have the same names in both services.
    for engine in [1, 3] {
        let engine = &deployment.engines[engine];
        deployment
            .store
            .put("servers", &engine.instance(), &engine.entry("other"));
    }
    deployment.store.put("config", "main", &config);
    let engine_of = |id: &str| {
        let mut engines = deployment.engines.iter();
        engines.position(|engine| engine.runs().iter().any(|run| run.id == id))
    };
    for entry in 0..2 {
        wait_for("the entry routes to all engines", || {
            let ids: Vec<String> = (0..16)
                .map(|n| format!("all-{n}-{}", rand_suffix()))
                .collect();
            for id in &ids {
                read_text(open(&deployment, entry, id, 1, &[]));
            }
            (0..4).all(|engine| ids.iter().any(|id| engine_of(id) == Some(engine)))
        });
    }
    for n in 0..STREAMS {
        begin(&deployment, 0, &format!("first-{n}"));
    }
    // One engine of each version and service is left, so that each stream goes on where it began.
    for n in 0..STREAMS {
        let (first, second) = (format!("first-{n}"), format!("second-{n}"));
        let text = resume(&deployment, 1, &second, &first);
        assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
        assert_eq!(engine_of(&second), engine_of(&first), "{first}");
    }
}
