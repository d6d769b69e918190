//! Streams that clients resume after all entries were killed at once, while engines of two software
//! versions serve, or of one that replaces the other.

mod support;

use oleander_platform_standins::engine_faults::EngineFaults;
use oleander_platform_standins::stand_in_engine::StandInEngine;
use serde_json::json;
use std::time::{Duration, Instant};
use support::client_streams::{
    EVENTS, EVENTS_READ, VERSIONS, begin, check_refused, check_resumed, cut_power,
    deployment_of_two_versions, new_id, open, resume, resume_to, version_of, wait_for_versions,
};
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::relay::Relay;
use support::relay_mode::RelayMode;
use support::{MODEL, config_with_streams, read_text, wait_for};

/// Streams of a test; if each resumed at either version by chance, one test in 65,536 would pass.
const STREAMS: usize = 16;
/// Start time of an engine that has restarted under the same instance id, in Unix milliseconds; that
/// of a new stand-in is 1.
const LATER_START: u64 = 2;

fn first(n: usize) -> String {
    format!("first-{n}")
}

fn second(n: usize) -> String {
    format!("second-{n}")
}

fn third(n: usize) -> String {
    format!("third-{n}")
}

/// Begins all streams, alternately at the entries, and breaks their connections.
fn begin_all(deployment: &Deployment) {
    for n in 0..STREAMS {
        begin(deployment, n % 2, &first(n));
    }
    for version in VERSIONS {
        let begun = |n| version_of(deployment, &first(n)).as_deref() == Some(version);
        assert!((0..STREAMS).any(begun), "no stream began at {version}");
    }
}

/// Guards against entries that forget what began a stream when all of them restart.
#[test]
fn stream_goes_on_at_its_version_after_a_power_cut_of_all_entries() {
    let mut deployment = deployment_of_two_versions();
    begin_all(&deployment);
    cut_power(&mut deployment, |_| {});
    for n in 0..STREAMS {
        let text = resume(&deployment, n % 2, (&second(n), &first(n)), EVENTS_READ);
        check_resumed(&deployment, (&second(n), &first(n)), EVENTS_READ, &text);
    }
}

/// Guards against resumption at the only version that is left.
#[test]
fn stream_whose_version_left_during_the_power_cut_is_refused() {
    let mut deployment = deployment_of_two_versions();
    begin_all(&deployment);
    cut_power(&mut deployment, |deployment| {
        for engine in &deployment.engines[..2] {
            deployment.store.remove("servers", &engine.instance());
        }
    });
    let is_of_v2 = |id: &str| version_of(&deployment, id).as_deref() == Some(VERSIONS[1]);
    for entry in 0..2 {
        wait_for("only v2 is left", || {
            // So many that an entry which still lists v1 sends one of them there.
            let ids: Vec<String> = (0..STREAMS).map(|_| new_id("left")).collect();
            for id in &ids {
                read_text(open(&deployment, entry, id, 1, &[]));
            }
            ids.iter().all(|id| is_of_v2(id))
        });
    }
    for n in 0..STREAMS {
        let text = resume(&deployment, n % 2, (&second(n), &first(n)), EVENTS_READ);
        if is_of_v2(&first(n)) {
            check_resumed(&deployment, (&second(n), &first(n)), EVENTS_READ, &text);
        } else {
            check_refused(&deployment, &second(n), &text);
        }
    }
}

/// Guards against a guess where no process is left that knows what began a stream.
#[test]
fn stream_is_refused_after_a_power_cut_of_entries_and_dispatchers() {
    let mut deployment = deployment_of_two_versions();
    begin_all(&deployment);
    cut_power(&mut deployment, |deployment| {
        for dispatcher in &mut deployment.dispatchers {
            dispatcher.kill();
            dispatcher.start();
        }
    });
    for entry in 0..2 {
        wait_for_versions(&deployment, entry, &VERSIONS);
    }
    for n in 0..STREAMS {
        let text = resume(&deployment, n % 2, (&second(n), &first(n)), EVENTS_READ);
        check_refused(&deployment, &second(n), &text);
    }
}

/// Puts a relay in front of each dispatcher, through which entries reach it.
fn relay_dispatchers(deployment: &mut Deployment) -> Vec<Relay> {
    let relays: Vec<Relay> = deployment
        .dispatchers
        .iter_mut()
        .map(|dispatcher| {
            let relay = Relay::spawn(dispatcher.peers);
            dispatcher.kill();
            dispatcher.advertised = relay.addr();
            dispatcher.start();
            relay
        })
        .collect();
    wait_for("all dispatchers are listed at their relays", || {
        let mut listed = deployment.dispatchers.iter().zip(&relays);
        listed.all(|(dispatcher, relay)| {
            let object = deployment
                .store
                .get("dispatchers", &format!("node-{}", dispatcher.name));
            object.is_some_and(|object| object["spec"]["addr"] == relay.addr().to_string())
        })
    });
    relays
}

/// Guards against a guess where an entry could record its streams nowhere before it was killed.
#[test]
fn stream_whose_record_was_never_written_is_refused() {
    let mut deployment = deployment_of_two_versions();
    let relays = relay_dispatchers(&mut deployment);
    cut_power(&mut deployment, |_| {});
    for entry in 0..2 {
        wait_for_versions(&deployment, entry, &VERSIONS);
    }
    for relay in &relays {
        relay.set(RelayMode::Refuse);
        relay.reset();
    }
    // A relay resets its open connections some time later.
    for (entry, node) in deployment.entries.iter().enumerate() {
        wait_for("the entry can record no stream", || {
            let id = new_id("unrecorded");
            read_text(open(&deployment, entry, &id, 1, &[]));
            let log = node.process().log();
            log.contains(&format!("event=stream-not-recorded request={id}"))
        });
    }
    begin_all(&deployment);
    cut_power(&mut deployment, |_| {
        relays.iter().for_each(|relay| relay.set(RelayMode::Pass));
    });
    for entry in 0..2 {
        wait_for_versions(&deployment, entry, &VERSIONS);
    }
    for n in 0..STREAMS {
        let text = resume(&deployment, n % 2, (&second(n), &first(n)), EVENTS_READ);
        check_refused(&deployment, &second(n), &text);
    }
}

/// Resumes all streams as second attempts and breaks these too, before and after a power cut.
fn resume_all_once(deployment: &mut Deployment) -> u64 {
    let read = 2 * EVENTS_READ;
    cut_power(deployment, |_| {});
    for n in 0..STREAMS {
        let ids = (second(n), first(n));
        resume_to(deployment, n % 2, (&ids.0, &ids.1), (EVENTS_READ, read));
    }
    cut_power(deployment, |_| {});
    read
}

/// Guards against a resumption that replaces the record of the attempt that began the stream.
#[test]
fn resumption_of_a_resumption_that_names_the_first_attempt_stays_at_its_version() {
    let mut deployment = deployment_of_two_versions();
    begin_all(&deployment);
    let read = resume_all_once(&mut deployment);
    for n in 0..STREAMS {
        let text = resume(&deployment, n % 2, (&third(n), &first(n)), read);
        check_resumed(&deployment, (&third(n), &first(n)), read, &text);
    }
}

/// Guards against resumptions that are not recorded: some clients name the attempt that they held
/// last.
#[test]
fn resumption_of_a_resumption_that_names_the_second_attempt_stays_at_its_version() {
    let mut deployment = deployment_of_two_versions();
    begin_all(&deployment);
    let read = resume_all_once(&mut deployment);
    for n in 0..STREAMS {
        let text = resume(&deployment, n % 2, (&third(n), &second(n)), read);
        check_resumed(&deployment, (&third(n), &first(n)), read, &text);
    }
}

/// Guards against an origin that is lost along a chain of attempts, each of which names the one
/// before.
#[test]
fn chain_of_three_resumptions_stays_at_its_version() {
    let mut deployment = deployment_of_two_versions();
    begin_all(&deployment);
    let read = resume_all_once(&mut deployment);
    for n in 0..STREAMS {
        let ids = (third(n), second(n));
        resume_to(
            &deployment,
            n % 2,
            (&ids.0, &ids.1),
            (read, read + EVENTS_READ),
        );
    }
    cut_power(&mut deployment, |_| {});
    let read = read + EVENTS_READ;
    for n in 0..STREAMS {
        let fourth = format!("fourth-{n}");
        let text = resume(&deployment, n % 2, (&fourth, &third(n)), read);
        check_resumed(&deployment, (&fourth, &first(n)), read, &text);
    }
}

/// Guards against a resumption that only its own entry knows, which is killed while it runs.
#[test]
fn stream_goes_on_after_the_entry_of_its_resumption_was_killed() {
    let mut deployment = deployment_of_two_versions();
    for n in 0..STREAMS {
        begin(&deployment, 0, &first(n));
    }
    let read = 2 * EVENTS_READ;
    let running: Vec<_> = (0..STREAMS)
        .map(|n| {
            let ids = (second(n), first(n));
            resume_to(&deployment, 0, (&ids.0, &ids.1), (EVENTS_READ, read))
        })
        .collect();
    deployment.entries[0].kill();
    drop(running);
    for n in 0..STREAMS {
        let text = resume(&deployment, 1, (&third(n), &second(n)), read);
        check_resumed(&deployment, (&third(n), &first(n)), read, &text);
    }
}

/// Starts a deployment with one engine for each of these versions.
fn deployment_of(versions: &[&str]) -> Deployment {
    let deployment = Deployment::start(DeploymentSize {
        entries: 2,
        engines: versions.len(),
        dispatchers: 3,
        services: 0,
    });
    deployment
        .store
        .put("config", "main", &config_with_streams(2));
    for (n, version) in versions.iter().enumerate() {
        deployment.set_software(n, version);
    }
    for entry in 0..2 {
        wait_for_versions(&deployment, entry, versions);
        wait_for_engines(&deployment, entry);
    }
    deployment
}

/// Waits until an entry has sent a stream to each engine, which refuses those for the instance that
/// it was before its version was set.
fn wait_for_engines(deployment: &Deployment, entry: usize) {
    let mut sent = Vec::new();
    wait_for("the entry routes to all engines", || {
        let id = new_id("warm-engine");
        read_text(open(deployment, entry, &id, 1, &[]));
        sent.push(id);
        let served =
            |engine: &StandInEngine| engine.runs().iter().any(|run| sent.contains(&run.id));
        deployment.engines.iter().all(served)
    });
}

/// Guards against resumption at an engine that has restarted with another version under the id that
/// it had, before its new list entry is known.
#[test]
fn stream_is_not_resumed_at_an_engine_that_restarted_in_place_with_another_version() {
    let mut deployment = deployment_of(&["v1"]);
    for n in 0..4 {
        begin(&deployment, n % 2, &first(n));
    }
    cut_power(&mut deployment, |deployment| {
        deployment.engines[0].restart_in_place("v2", LATER_START);
    });
    for n in 0..4 {
        let text = resume(&deployment, n % 2, (&second(n), &first(n)), EVENTS_READ);
        check_refused(&deployment, &second(n), &text);
    }
}

/// Guards against resumption at another engine than the one that began the stream, which has
/// restarted in place with another version while the list still names the same one for both.
#[test]
fn stream_is_not_resumed_at_another_engine_that_restarted_in_place() {
    let mut deployment = deployment_of(&["v1", "v1"]);
    for n in 0..STREAMS {
        begin(&deployment, n % 2, &first(n));
    }
    let began_at = |deployment: &Deployment, n: usize| {
        let mut engines = deployment.engines.iter();
        engines.position(|engine| engine.runs().iter().any(|run| run.id == first(n)))
    };
    cut_power(&mut deployment, |deployment| {
        deployment.engines[1].restart_in_place("v2", LATER_START);
    });
    let mut resumed = 0;
    for n in 0..STREAMS {
        let text = resume(&deployment, n % 2, (&second(n), &first(n)), EVENTS_READ);
        if began_at(&deployment, n) == Some(0) {
            check_resumed(&deployment, (&second(n), &first(n)), EVENTS_READ, &text);
            resumed += 1;
        } else {
            check_refused(&deployment, &second(n), &text);
        }
    }
    assert!(resumed > 0, "no stream began at the engine that stayed");
}

/// Guards against a record under the version of the old list entry of an engine that has restarted
/// in place: the stream would go on at another engine of that version.
#[test]
fn stream_of_an_engine_that_restarted_in_place_is_not_resumed_at_its_listed_version() {
    let mut deployment = deployment_of(&["v1"]);
    deployment.engines[0].restart_in_place("v2", LATER_START);
    for n in 0..4 {
        begin(&deployment, n % 2, &first(n));
        assert_eq!(version_of(&deployment, &first(n)).as_deref(), Some("v2"));
    }
    // Another engine serves at the version that the list still names for the first.
    list_other(&mut deployment, "v1");
    cut_power(&mut deployment, |_| {});
    for entry in 0..2 {
        wait_for("the entry routes to both engines", || {
            let id = new_id("warm");
            read_text(open(&deployment, entry, &id, 1, &[]));
            version_of(&deployment, &id).as_deref() == Some("v1")
        });
    }
    for n in 0..4 {
        let text = resume(&deployment, n % 2, (&second(n), &first(n)), EVENTS_READ);
        check_refused(&deployment, &second(n), &text);
    }
}

/// Guards against resumption within the response at the listed version of an engine that has
/// restarted in place, and breaks a stream off then.
#[test]
fn broken_stream_does_not_go_on_within_the_response_at_a_version_that_did_not_begin_it() {
    let deployment = deployment_of(&["v1", "v1"]);
    // Both list entries name v1, but the first engine runs v2.
    deployment.engines[0].restart_in_place("v2", LATER_START);
    deployment.engines[0].set_faults(EngineFaults {
        break_at_event: 2 * EVENTS_READ,
        ..EngineFaults::default()
    });
    let mut begun_at_v2 = 0;
    for n in 0..STREAMS {
        let text = read_text(open(&deployment, 0, &first(n), EVENTS, &[]));
        let is_at_v2 = version_of(&deployment, &first(n)).as_deref() == Some("v2");
        begun_at_v2 += usize::from(is_at_v2);
        let is_whole = text.contains(&format!("data: {}:{EVENTS}\n", first(n)));
        assert_eq!(is_whole, !is_at_v2, "{text}");
        let engines = deployment.engines.iter();
        let runs = engines.flat_map(StandInEngine::runs);
        assert_eq!(runs.filter(|run| run.id == first(n)).count(), 1);
    }
    assert!(begun_at_v2 > 0, "no stream began at the restarted engine");
}

/// Guards against a record under the version of a list entry that was replaced between the choice of
/// the engine and its answer.
#[test]
fn stream_whose_list_entry_changed_before_the_answer_is_not_resumed_at_the_old_version() {
    let mut deployment = deployment_of(&["v1"]);
    let relay = Relay::spawn(deployment.engines[0].addr());
    let instance = deployment.engines[0].instance();
    let list = |deployment: &Deployment, engine: &StandInEngine| {
        let mut entry = engine.entry("llm");
        entry["addr"] = json!(relay.addr().to_string());
        deployment.store.put("servers", &instance, &entry);
    };
    list(&deployment, &deployment.engines[0]);
    relay.set(RelayMode::Delay(Duration::from_millis(400)));
    let is_listed_at_relay = |deployment: &Deployment| {
        let id = new_id("warm");
        let began = Instant::now();
        read_text(open(deployment, 0, &id, 1, &[]));
        began.elapsed() > Duration::from_millis(400)
    };
    wait_for("the entry uses the relay", || {
        is_listed_at_relay(&deployment)
    });
    let stream = open(&deployment, 0, &first(0), EVENTS, &[]);
    deployment.engines[0].set_software("v2");
    deployment.engines[0].restart_at(LATER_START);
    list(&deployment, &deployment.engines[0]);
    let text = read_text(stream);
    assert!(text.starts_with("HTTP/1.1 200 "), "{text}");
    assert_eq!(version_of(&deployment, &first(0)).as_deref(), Some("v2"));
    relay.set(RelayMode::Pass);
    let log = deployment.entries[0].process().log();
    let doubted = format!("event=stream-origin-doubted request={}", first(0));
    assert!(log.contains(&doubted), "{log}");
    // An engine of the old version is there, at which the stream must not go on.
    list_other(&mut deployment, "v1");
    cut_power(&mut deployment, |_| {});
    for entry in 0..2 {
        wait_for_versions(&deployment, entry, &VERSIONS);
    }
    for entry in 0..2 {
        let text = resume(&deployment, entry, (&second(entry), &first(0)), EVENTS_READ);
        check_refused(&deployment, &second(entry), &text);
    }
}

/// Lists another engine with this software version.
fn list_other(deployment: &mut Deployment, version: &str) {
    let interval = Duration::from_millis(15);
    let other = StandInEngine::spawn("engine-other", MODEL, interval);
    other.set_software(version);
    deployment
        .store
        .put("servers", &other.instance(), &other.entry("llm"));
    deployment.engines.push(other);
}

/// Guards against taking two engines for equal because the list names no version for either, while
/// it names versions for others.
#[test]
fn stream_of_an_engine_without_a_version_is_refused_while_others_have_versions() {
    let mut deployment = deployment_of_two_versions();
    for engine in &deployment.engines[..2] {
        let mut entry = engine.entry("llm");
        entry["version"] = json!(null);
        deployment.store.put("servers", &engine.instance(), &entry);
    }
    for entry in 0..2 {
        wait_for("the entry knows engines without a version", || {
            let id = new_id("warm");
            read_text(open(&deployment, entry, &id, 1, &[]));
            let log = deployment.entries[entry].process().log();
            log.contains("software=unknown")
        });
    }
    begin_all(&deployment);
    cut_power(&mut deployment, |_| {});
    for n in 0..STREAMS {
        let text = resume(&deployment, n % 2, (&second(n), &first(n)), EVENTS_READ);
        if version_of(&deployment, &first(n)).as_deref() == Some(VERSIONS[1]) {
            check_resumed(&deployment, (&second(n), &first(n)), EVENTS_READ, &text);
        } else {
            check_refused(&deployment, &second(n), &text);
        }
    }
}
