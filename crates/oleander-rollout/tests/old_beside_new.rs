//! Processes of an earlier build beside processes of the present one.
//!
//! A deployment is updated one process at a time, so both builds exchange messages and read the same
//! stored objects and settings files for a while. These tests guard against a change of a name on
//! the wire, in a stored object or in a settings file: with real processes of both builds, samples
//! must be whole and right, calls answered whole, and nothing may be reported as unreadable.
//!
//! Run: `OLEANDER_OLD_PROGRAMS=DIR cargo test -p oleander-rollout --test old_beside_new`, with an
//! absolute path. Without the variable the tests are passed over and say so.
//!
//! To make the folder, check the earlier commit out into a work tree of its own, build it there with
//! `cargo build --workspace`, and copy the programs (`oleanderlock` is used here) from its
//! `target/debug` into the folder.

mod soak_support;
mod support;

use oleander_platform_standins::stand_in_store::StandInStore;
use serde_json::Value;
use soak_support::action::Action;
use soak_support::callers::BODY;
use soak_support::known_call::KnownCall;
use soak_support::observations::Observations;
use soak_support::run::under_load;
use soak_support::scale::Scale;
use soak_support::soak_deployment::SoakDeployment;
use std::collections::BTreeSet;
use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use support::deployment::Deployment;
use support::deployment_size::SMALL;
use support::http::call;
use support::process::PROGRAM;
use support::{HOST, check_results, job, wait_for};

/// Folder of the earlier build's programs.
const OLD_PROGRAMS: &str = "OLEANDER_OLD_PROGRAMS";
/// Seed of the load.
const SEED: u64 = 1;
/// Target of the calls that must be answered.
const WHOLE: &str = "/calls/whole";
/// Pause between two of them.
const CALL_PAUSE: Duration = Duration::from_millis(25);
/// Time between two events of an engine whose runs do not end while its agent stops.
const SLOW_EVENT_TIME: Duration = Duration::from_secs(2);
/// Kinds of the objects that a deployment stores, but further parts of large jobs.
const STORED_KINDS: [&str; 6] = [
    "jobs",
    "job-ends",
    "results",
    "run-checkpoints",
    "dispatchers",
    "dispatcher-pulses",
];
/// Links of the entries to the store among the links of a soak's deployment.
const ENTRY_STORE_LINKS: [usize; 2] = [4, 5];
/// Place of the first agent among the nodes of a soak's deployment.
const FIRST_AGENT: usize = 2;

/// Returns the earlier build's program; `None`, with a line about it, when no folder is named.
fn old_program(test: &str) -> Option<PathBuf> {
    let Some(folder) = std::env::var_os(OLD_PROGRAMS) else {
        // Past the capture of the tests' output.
        let line = format!("{test}: passed over, since {OLD_PROGRAMS} is not set\n");
        let _ = std::io::stderr().write_all(line.as_bytes());
        return None;
    };
    let program = Path::new(&folder).join("oleanderlock");
    assert!(program.is_file(), "{} is missing", program.display());
    Some(program)
}

/// Fails when a log has a line about an object or a message that could not be decoded.
fn check_logs(logs: &[PathBuf]) {
    assert!(!logs.is_empty());
    for path in logs {
        let log = fs::read_to_string(path).expect("a log");
        assert!(!log.is_empty(), "{} is empty", path.display());
        for line in log.lines() {
            // Faults of the decoder end with the place in the text.
            let decoder = line.contains(" at line ") && line.contains(" column ");
            let refused = line.contains("400 Bad Request");
            let unreadable = line.contains("unreadable") || decoder || refused;
            assert!(!unreadable, "{}: {line}", path.display());
        }
    }
}

/// Returns whether the log of any of these processes has a text.
fn any_log_has(logs: &[PathBuf], text: &str) -> bool {
    let mut logs = logs.iter().map(fs::read_to_string);
    logs.any(|log| log.is_ok_and(|log| log.contains(text)))
}

/// Ends callers, also when a check fails.
struct EndCalls<'a>(&'a AtomicBool);

impl Drop for EndCalls<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Calls until told to end; each call must be answered whole by one of the entries.
fn call_until(done: &AtomicBool, entries: &[SocketAddr], observed: &Observations) -> usize {
    let mut number = 0;
    while !done.load(Ordering::Relaxed) {
        let id = format!("whole-{number}");
        let known = KnownCall {
            once: false,
            target: WHOLE.to_owned(),
            refused: false,
        };
        observed.calls.lock().insert(id.clone(), known);
        let headers = [
            ("host", HOST),
            ("request-id", id.as_str()),
            ("deadline-ms", "1400"),
        ];
        let mut attempt = number;
        wait_for("a call is answered whole", || {
            let entry = entries[attempt % entries.len()];
            attempt += 1;
            let reply = call(entry, "POST", WHOLE, &headers, BODY);
            reply.is_some_and(|reply| {
                let status = reply.status;
                assert!(matches!(status, 200 | 408 | 421 | 429 | 500..), "{reply:?}");
                assert!(status != 200 || reply.body == format!("for {id}").as_bytes());
                status == 200
            })
        });
        number += 1;
        thread::sleep(CALL_PAUSE);
    }
    number
}

/// Waits until the trainer has had another whole step, and callers more whole calls.
fn wait_for_progress(deployment: &mut SoakDeployment, observed: &Observations) {
    let now = |observed: &Observations| {
        let steps = observed.complete_steps.load(Ordering::Relaxed);
        (steps, observed.complete_calls.load(Ordering::Relaxed))
    };
    let before = now(observed);
    wait_for("another step is whole, and more calls", || {
        deployment.check_for_crashes(observed);
        let after = now(observed);
        after.0 > before.0 && after.1 > before.1
    });
}

/// Plays acts under load and checks every promise, with a caller that must be answered besides.
fn play(
    deployment: &mut SoakDeployment,
    name: &str,
    act: impl FnOnce(&mut SoakDeployment, &Observations),
) {
    under_load(SEED, deployment, &name, |deployment, observed| {
        let entries = deployment.entries.clone();
        let done = AtomicBool::new(false);
        thread::scope(|scope| {
            let caller = scope.spawn(|| call_until(&done, &entries, observed));
            let end = EndCalls(&done);
            wait_for_progress(deployment, observed);
            act(deployment, observed);
            wait_for_progress(deployment, observed);
            drop(end);
            let whole = caller.join().expect("every call is answered whole");
            assert!(whole > 0);
        });
    });
    check_logs(&deployment.logs());
}

/// Runs dispatchers of one build with entries and agents of another one.
fn dispatchers_beside_others(name: &str, dispatchers: &Path, others: &Path) {
    let program = |role: &str| {
        let program = if role == "dispatcher" {
            dispatchers
        } else {
            others
        };
        program.to_owned()
    };
    let mut deployment = SoakDeployment::start_as(Scale::SHORT.size, &program);
    play(&mut deployment, name, |deployment, observed| {
        // Entries that do not reach the store submit jobs through the leader.
        for link in ENTRY_STORE_LINKS {
            deployment.begin(Action::Refuse { link });
        }
        let logs = deployment.logs();
        wait_for("a job is submitted through the leader", || {
            any_log_has(&logs, "event=job-relayed")
        });
        wait_for_progress(deployment, observed);
        for link in ENTRY_STORE_LINKS {
            deployment.end(Action::Refuse { link }, observed);
        }
        deployment.begin(Action::KillLeader);
        wait_for_progress(deployment, observed);
        deployment.end(Action::KillLeader, observed);
        let kill = Action::Kill { node: FIRST_AGENT };
        deployment.begin(kill);
        deployment.end(kill, observed);
    });
}

#[test]
fn old_dispatchers_serve_new_entries_and_agents() {
    let name = "old_dispatchers_serve_new_entries_and_agents";
    if let Some(old) = old_program(name) {
        dispatchers_beside_others(name, &old, PROGRAM.as_ref());
    }
}

#[test]
fn new_dispatchers_serve_old_entries_and_agents() {
    let name = "new_dispatchers_serve_old_entries_and_agents";
    if let Some(old) = old_program(name) {
        dispatchers_beside_others(name, PROGRAM.as_ref(), &old);
    }
}

#[test]
fn processes_are_replaced_one_by_one_and_back_under_load() {
    let name = "processes_are_replaced_one_by_one_and_back_under_load";
    let Some(old) = old_program(name) else {
        return;
    };
    let new = Path::new(PROGRAM);
    // After the first three, each role has a process of each build.
    let forth = ["dispatcher-0", "entry-0", "agent-0"]
        .into_iter()
        .chain(["entry-1", "agent-1", "dispatcher-1"])
        .map(|node| (node, new));
    let back = ["agent-1", "entry-0", "dispatcher-0"].map(|node| (node, old.as_path()));
    let mut deployment = SoakDeployment::start_as(Scale::SHORT.size, &|_| old.clone());
    play(&mut deployment, name, |deployment, observed| {
        for (node, program) in forth.chain(back) {
            deployment.replace(node, program, observed);
            wait_for_progress(deployment, observed);
        }
    });
}

/// Returns how many runs the engines began for items of a step.
fn runs_of(deployment: &Deployment, step: u64) -> usize {
    let prefix = format!("{step:04x}");
    let runs = deployment.engines.iter().flat_map(|engine| engine.runs());
    runs.filter(|run| run.id.starts_with(&prefix)).count()
}

/// Returns the events behind which runs of a step's items went on.
fn went_on_behind(deployment: &Deployment, step: u64) -> Vec<u64> {
    let prefix = format!("{step:04x}");
    let runs = deployment.engines.iter().flat_map(|engine| engine.runs());
    let runs = runs.filter(|run| run.id.starts_with(&prefix) && run.after_event > 0);
    runs.map(|run| run.after_event).collect()
}

/// Long runs are interrupted where dispatchers are of one build and agents of another one.
fn long_runs_go_on(dispatchers: &Path, agents: &Path) {
    let program = |role: &str| {
        let program = if role == "agent" { agents } else { dispatchers };
        program.to_owned()
    };
    let mut deployment = Deployment::start_as(SMALL, &program);
    let killed = job(1, 1, 2, 200);
    deployment.submit(0, "job-killed", &killed);
    wait_for("all long runs have checkpoints", || {
        checkpoints_beyond(&deployment.store, "job-killed", 40) == 4
    });
    deployment.agents[0].kill();
    deployment.agents[0].start();
    check_results(&deployment.read_all(0, "job-killed", 4), &killed);
    let behind = went_on_behind(&deployment, 1);
    assert!(!behind.is_empty());
    assert!(behind.iter().all(|event| *event >= 40), "{behind:?}");

    let stopped = job(2, 1, 2, 200);
    deployment.submit(1, "job-stopped", &stopped);
    wait_for("its long runs have checkpoints", || {
        checkpoints_beyond(&deployment.store, "job-stopped", 40) > 0
    });
    let mut engines = deployment.engines.iter();
    let busy = engines.position(|engine| engine.running() > 0);
    let busy = busy.expect("an engine that runs items");
    // Its runs would end within the grace otherwise.
    deployment.engines[busy].set_event_interval(SLOW_EVENT_TIME);
    let agent = deployment.agents[busy].process.as_mut().expect("it runs");
    agent.signal("TERM");
    assert_eq!(agent.wait(), Some(0));
    check_results(&deployment.read_all(0, "job-stopped", 4), &stopped);
    // What an agent that stops hands back is not run again.
    let behind = went_on_behind(&deployment, 2);
    assert!(!behind.is_empty());
    assert!(behind.iter().all(|event| *event >= 40), "{behind:?}");
    let logs: Vec<PathBuf> = deployment
        .nodes_mut()
        .flat_map(|node| node.logs.clone())
        .collect();
    check_logs(&logs);
}

#[test]
fn long_runs_go_on_at_new_agents_of_old_dispatchers() {
    if let Some(old) = old_program("long_runs_go_on_at_new_agents_of_old_dispatchers") {
        long_runs_go_on(&old, PROGRAM.as_ref());
    }
}

#[test]
fn long_runs_go_on_at_old_agents_of_new_dispatchers() {
    if let Some(old) = old_program("long_runs_go_on_at_old_agents_of_new_dispatchers") {
        long_runs_go_on(PROGRAM.as_ref(), &old);
    }
}

/// Returns how many samples are listed in the store.
fn listed(store: &StandInStore) -> usize {
    let chunks = store.specs("results");
    let samples = chunks
        .iter()
        .filter_map(|chunk| chunk["samples"].as_array());
    samples.map(Vec::len).sum()
}

/// Returns how many runs of a job have a checkpoint in the store beyond an event.
fn checkpoints_beyond(store: &StandInStore, job: &str, event: u64) -> usize {
    let pages = store.specs("run-checkpoints");
    let parts = pages.iter().filter_map(|page| page["parts"].as_array());
    let far = parts
        .flatten()
        .filter(|part| part[1]["last_event"].as_u64() >= Some(event))
        .filter(|part| part[1]["key"]["job"] == job);
    let mut keys: Vec<String> = far.map(|part| part[1]["key"].to_string()).collect();
    keys.sort();
    keys.dedup();
    keys.len()
}

fn end_job(deployment: &Deployment, id: &str) {
    wait_for("a job is ended", || {
        let reply = deployment.call(0, "DELETE", &format!("/-/lots/{id}"), &[], b"");
        reply.is_some_and(|reply| reply.status == 200)
    });
}

/// Reads the results of a job behind a position until all are there.
fn read_behind(deployment: &Deployment, id: &str, after: usize, total: usize) -> Vec<Value> {
    let mut results = Vec::new();
    wait_for("the results are served", || {
        let read = deployment.read(1, id, after);
        let read = read.and_then(|read| read["results"].as_array().cloned());
        results = read.unwrap_or_default();
        after + results.len() == total
    });
    results
}

/// One build writes, all its processes end, and another one reads on the same store.
fn handed_over(from: &Path, to: &Path) {
    let mut deployment = Deployment::start_as(SMALL, &|_| from.to_owned());
    let (read, unread, ended) = (job(1, 1, 3, 4), job(2, 1, 3, 4), job(3, 1, 2, 400));
    let long = job(4, 1, 1, 200);
    deployment.submit(0, "job-read", &read);
    let read_before = deployment.read_all(1, "job-read", 6);
    deployment.submit(1, "job-unread", &unread);
    wait_for("all results are in the store", || {
        listed(&deployment.store) == 12
    });
    let first_before = deployment.read(0, "job-unread", 0);
    let first_before = first_before.and_then(|read| Some(read["results"][0].as_object()?.clone()));
    deployment.submit(0, "job-ended", &ended);
    wait_for("the items run", || deployment.running() == 4);
    end_job(&deployment, "job-ended");
    wait_for("the runs end", || deployment.running() == 0);
    let ended_runs = runs_of(&deployment, 3);
    deployment.submit(0, "job-long", &long);
    wait_for("both long runs have checkpoints", || {
        checkpoints_beyond(&deployment.store, "job-long", 40) == 2
    });

    let mut files = Vec::new();
    for node in deployment.nodes_mut() {
        files.push(node.process().settings.clone());
        node.kill();
    }
    for (node, file) in deployment.nodes_mut().zip(files) {
        node.program = to.to_owned();
        node.start_on_file(file);
    }
    let read_after = deployment.read_all(0, "job-read", 6);
    check_results(&read_after, &read);
    assert_eq!(read_after, read_before);
    let unread_after = deployment.read_all(1, "job-unread", 6);
    check_results(&unread_after, &unread);
    if let Some(first) = first_before {
        assert_eq!(unread_after[0].as_object(), Some(&first));
    }
    for after in 0..6 {
        let behind = read_behind(&deployment, "job-unread", after, 6);
        assert_eq!(behind, unread_after[after..]);
    }
    check_results(&deployment.read_all(0, "job-long", 2), &long);
    let behind = went_on_behind(&deployment, 4);
    assert_eq!(behind.len(), 2, "{behind:?}");
    assert!(behind.iter().all(|event| *event >= 40), "{behind:?}");
    let again = job(5, 1, 1, 4);
    deployment.submit(1, "job-again", &again);
    check_results(&deployment.read_all(0, "job-again", 2), &again);
    // Each finished item ran once in all, and an ended job does not run again.
    assert_eq!(
        [runs_of(&deployment, 1), runs_of(&deployment, 2)],
        [6, 6],
        "finished jobs ran again"
    );
    end_job(&deployment, "job-ended");
    assert_eq!(runs_of(&deployment, 3), ended_runs);
    assert_eq!(deployment.running(), 0);
    let logs: Vec<PathBuf> = deployment
        .nodes_mut()
        .flat_map(|node| node.logs.clone())
        .collect();
    check_logs(&logs);
}

#[test]
fn the_new_build_goes_on_with_what_the_old_one_wrote() {
    if let Some(old) = old_program("the_new_build_goes_on_with_what_the_old_one_wrote") {
        handed_over(&old, PROGRAM.as_ref());
    }
}

#[test]
fn the_old_build_goes_on_with_what_the_new_one_wrote() {
    if let Some(old) = old_program("the_old_build_goes_on_with_what_the_new_one_wrote") {
        handed_over(PROGRAM.as_ref(), &old);
    }
}

/// Adds the names of all fields in a value to a set, with the names above them.
fn field_names(value: &Value, above: &str, names: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let name = format!("{above}.{name}");
                field_names(field, &name, names);
                names.insert(name);
            }
        }
        Value::Array(values) => {
            for value in values {
                field_names(value, above, names);
            }
        }
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => {}
    }
}

/// Returns the names of all fields that a build writes into the store.
fn stored_names(program: &Path) -> BTreeSet<String> {
    let deployment = Deployment::start_as(SMALL, &|_| program.to_owned());
    deployment.submit(0, "job-short", &job(1, 1, 1, 4));
    deployment.read_all(0, "job-short", 2);
    end_job(&deployment, "job-short");
    deployment.submit(0, "job-long", &job(2, 1, 1, 200));
    wait_for("both long runs have checkpoints", || {
        checkpoints_beyond(&deployment.store, "job-long", 40) == 2
    });
    let mut names = BTreeSet::new();
    // Objects of its kind that have other fields hide what is lost of it.
    let leader = deployment.store.get("dispatchers", "leader");
    let leader = leader.expect("a leader");
    field_names(&leader["spec"], "leader", &mut names);
    for kind in STORED_KINDS {
        let specs = deployment.store.specs(kind);
        assert!(!specs.is_empty(), "no object of {kind}");
        for spec in specs {
            field_names(&spec, kind, &mut names);
        }
    }
    names
}

#[test]
fn the_new_build_stores_under_the_names_of_the_old_one() {
    let Some(old) = old_program("the_new_build_stores_under_the_names_of_the_old_one") else {
        return;
    };
    let (old, new) = (stored_names(&old), stored_names(PROGRAM.as_ref()));
    let lost: Vec<&String> = old.difference(&new).collect();
    assert!(lost.is_empty(), "not stored any more: {lost:?}");
}

#[test]
fn both_builds_take_a_settings_file_with_every_key() {
    let Some(old) = old_program("both_builds_take_a_settings_file_with_every_key") else {
        return;
    };
    let settings = "[node]\nname = entry-0\ndomain = z\n\
        [listen]\ncalls = 127.0.0.1:1\nready = 127.0.0.1:2\npeers = 127.0.0.1:3\n\
        told = 127.0.0.1:4\nmetrics = 127.0.0.1:5\n\
        [store]\naddr = 127.0.0.1:6\nvalue_bytes = 65536\n\
        [engine]\naddr = 127.0.0.1:7\n\
        [bounds]\ngrace = 6s\nsettle = 1s\nkeep_results = 60s\n";
    let name = format!("oleander-every-key-{}.ini", std::process::id());
    let file = std::env::temp_dir().join(name);
    fs::write(&file, settings).expect("settings are written");
    for program in [old.as_path(), PROGRAM.as_ref()] {
        for role in ["entry", "agent", "dispatcher"] {
            let mut command = Command::new(program);
            let checked = command.arg("--settings").arg(&file).args(["--check", role]);
            let checked = checked.output().expect("the program runs");
            assert!(checked.status.success(), "{checked:?}");
        }
    }
    fs::remove_file(&file).expect("removed");
}
