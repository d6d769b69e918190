//! Daemons of an earlier build beside daemons of the present one.
//!
//! A deployment is updated one process at a time, so both builds speak over their links, read the
//! same list and store, and are asked by `oleanderctl` of either build. These tests guard against a
//! change of a name in a frame, an object, a snapshot file, a settings file or an answer: with real
//! processes of both builds, calls must be answered, steps delivered whole and once, contracts come
//! into force everywhere, and no frame or object may be refused.
//!
//! Run: `OLEANDER_OLD_PROGRAMS=DIR cargo test -p oleander-load --test old_beside_new`, with an
//! absolute path. Without the variable the tests are passed over and say so.
//!
//! To make the folder, check the earlier commit out into a work tree of its own, build it there with
//! `cargo build --workspace`, and copy the programs (`oleander-entry`, `oleander-agent` and
//! `oleanderctl` are used here) from its `target/debug` into the folder.
//!
//! Deployments are mixed from their start on and not restarted one by one, because of the fault of a
//! library that KNOWN-RED.txt names.

mod support;

use oleander_load::deployment::Deployment;
use oleander_load::deployment_cfg::DeploymentCfg;
use oleander_load::node::Node;
use oleander_standins::free_address::spawn_child;
use oleander_standins::judge;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Instant;
use support::{
    CONTRACT, HANG, Quote, Told, cfg, check_trainer, issue_key, pause, runs, start, start_trainer,
    trainer_cfg, wait_in_force, with_data,
};

/// Folder of the earlier build's programs.
const OLD_PROGRAMS: &str = "OLEANDER_OLD_PROGRAMS";
/// Programs that are started here.
const PROGRAMS: [&str; 3] = ["oleander-entry", "oleander-agent", "oleanderctl"];
/// Names of the entries of a deployment.
const ENTRIES: [&str; 2] = ["entry-1", "entry-2"];
/// Names of the agents of a deployment with two engines and two services.
const AGENTS: [&str; 4] = [
    "advisor-1",
    "advisor-2",
    "quote-availability-1",
    "quote-availability-2",
];
/// Calls at each entry while steps run.
const CALLS: u64 = 20;
/// Log events of a frame, an object or a file that could not be read.
const UNREADABLE: [&str; 5] = [
    "unreadable",
    "snapshot-refused",
    "snapshot-not-written",
    "control-panicked",
    "panic",
];

/// Returns the folder of the old programs; `None`, with a line about it, when none is named.
fn old_programs(test: &str) -> Option<PathBuf> {
    let Some(folder) = std::env::var_os(OLD_PROGRAMS) else {
        // Past the capture of the tests' output.
        let line = format!("{test}: passed over, since {OLD_PROGRAMS} is not set\n");
        let _ = std::io::stderr().write_all(line.as_bytes());
        return None;
    };
    let folder = PathBuf::from(folder);
    for program in PROGRAMS {
        let path = folder.join(program);
        assert!(path.is_file(), "{} is missing", path.display());
    }
    Some(folder)
}

fn new_programs() -> PathBuf {
    cfg(0, 0).programs
}

fn with_share(share: u32) -> String {
    CONTRACT.replace("share = 40%", &format!("share = {share}%"))
}

/// Makes some processes of a deployment run the programs of another folder.
fn with_others(cfg: DeploymentCfg, names: &[&str], folder: &Path) -> DeploymentCfg {
    let others = names.iter().map(|name| (*name).to_owned());
    let other_programs: HashMap<String, PathBuf> =
        others.map(|name| (name, folder.to_owned())).collect();
    DeploymentCfg {
        other_programs,
        ..cfg
    }
}

fn nodes(deployment: &Deployment) -> impl Iterator<Item = &Node> {
    let agents = deployment.endpoints.iter().map(|endpoint| &endpoint.agent);
    deployment.entries.iter().chain(agents)
}

/// Checks that no process has ended, and none could not read what it was sent.
async fn check_processes(deployment: &mut Deployment) {
    for node in nodes(deployment) {
        let file = deployment.folder().join(format!("{}.log", node.name));
        let log = std::fs::read_to_string(file).expect("a log");
        assert!(!log.is_empty(), "{} logs nothing", node.name);
        for line in log.lines() {
            let is_unreadable = UNREADABLE.iter().any(|event| line.contains(event));
            assert!(!is_unreadable, "{}: {line}", node.name);
        }
        let metrics = node.api().get("/metrics").await.expect("metrics").body;
        let refused = metrics
            .lines()
            .find(|line| line.contains("\"frame-refused\"") && !line.ends_with(" 0"));
        assert_eq!(refused, None, "{}", node.name);
    }
    let Deployment {
        entries, endpoints, ..
    } = deployment;
    let agents = endpoints.iter_mut().map(|endpoint| &mut endpoint.agent);
    for node in entries.iter_mut().chain(agents) {
        assert!(node.is_running(), "{} has ended", node.name);
    }
}

/// Checks that exactly the named processes run a program of the folder.
fn check_programs(deployment: &Deployment, names: &[&str], folder: &Path) {
    let folder = folder.canonicalize().expect("a folder");
    let mut running = Vec::new();
    for node in nodes(deployment) {
        let id = node.process().expect("it runs").id();
        let program = std::fs::read_link(format!("/proc/{id}/exe")).expect("its program");
        if program.starts_with(&folder) {
            running.push(node.name.as_str());
        }
    }
    running.sort_unstable();
    let mut names = names.to_vec();
    names.sort_unstable();
    assert_eq!(running, names);
}

/// Calls and steps through a deployment whose named processes are old, and an amended contract meanwhile.
async fn serve_all(names: &[&str], old: &Path) {
    let mut deployment = start(with_others(cfg(2, 2), names, old)).await;
    check_programs(&deployment, names, old);
    let entries = deployment.entry_addresses();
    let trainer_cfg = trainer_cfg(&entries);
    let trainer = start_trainer(trainer_cfg.clone());
    for n in 0..CALLS {
        if n == CALLS / 2 {
            let amended = deployment.put_contract(&with_share(30), 1).await;
            wait_in_force(&deployment, amended.expect("accepted")).await;
        }
        for (place, entry) in entries.iter().enumerate() {
            let order = n * 2 + place as u64;
            // A key that one entry issued holds at the other one.
            let key = issue_key(*entry).await;
            let first = Quote {
                first_call: true,
                ..Quote::keyed(order, &key)
            };
            let told = first.send(*entry).await;
            assert!(matches!(told, Told::Answer(_)), "{told:?}");
            let other = entries[1 - place];
            let again = Quote::keyed(order, &key).send(other).await;
            assert!(!matches!(again, Told::Broken), "{again:?}");
            assert_eq!(runs(&deployment, order).await, 1, "order {order}");

            let prompt = format!("which seedlings, {order}?");
            let body = json!({"model": "advisor", "prompt": prompt, "max_tokens": 20});
            let api = deployment.entries[place].api();
            let reply = api.post("/v1/completions", &body).await;
            let answer: Value = reply.expect("an answer").json().expect("JSON");
            let text = answer["choices"][0]["text"].as_str();
            let text = text.unwrap_or_else(|| panic!("no text: {answer}"));
            assert!(judge::versions(&prompt, 20, text).is_some(), "{text}");
        }
    }
    check_trainer(&trainer, &trainer_cfg).await;
    for endpoint in &deployment.endpoints {
        let engine = endpoint.engine_record().await.expect("a record");
        let service = endpoint.service_record().await.expect("a record");
        let ran = engine.runs.len() + service.runs.len();
        assert!(ran > 0, "nothing ran at {}", endpoint.agent.name);
    }
    check_processes(&mut deployment).await;
}

#[test]
fn old_entries_use_new_agents() {
    if let Some(old) = old_programs("old_entries_use_new_agents") {
        smol::block_on(serve_all(&ENTRIES, &old));
    }
}

#[test]
fn new_entries_use_old_agents() {
    if let Some(old) = old_programs("new_entries_use_old_agents") {
        smol::block_on(serve_all(&AGENTS, &old));
    }
}

#[test]
fn entries_and_agents_of_both_builds_work_together() {
    if let Some(old) = old_programs("entries_and_agents_of_both_builds_work_together") {
        let names = [ENTRIES[1], AGENTS[0], AGENTS[3]];
        smol::block_on(serve_all(&names, &old));
    }
}

/// Where the daemons of the other build find what was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Snapshots,
    Store,
}

/// One build writes a contract, all its processes end, and another one reads on.
async fn handed_over(from: &Path, to: &Path, source: Source) {
    let base = DeploymentCfg {
        programs: from.to_owned(),
        ..cfg(0, 2)
    };
    let is_from_snapshots = source == Source::Snapshots;
    let base = if is_from_snapshots {
        with_data(base)
    } else {
        base
    };
    let mut deployment = start(base).await;
    let written = deployment.put_contract(&with_share(30), 1).await;
    let written = written.expect("accepted");
    wait_in_force(&deployment, written).await;
    if is_from_snapshots {
        wait_for_snapshots(&deployment, "share = 30%").await;
    }
    for entry in &mut deployment.entries {
        entry.crash();
        entry.use_programs(to);
    }
    for endpoint in &mut deployment.endpoints {
        endpoint.agent.crash();
        endpoint.agent.use_programs(to);
    }
    let store = deployment.platform.store_api();
    if is_from_snapshots {
        store.control(r#"{"outage":true}"#).await.expect("outage");
    }
    for entry in &mut deployment.entries {
        entry.start().expect("started");
    }
    for endpoint in &mut deployment.endpoints {
        endpoint.agent.start().expect("started");
    }
    wait_in_force(&deployment, written).await;
    let all: Vec<&str> = nodes(&deployment).map(|node| node.name.as_str()).collect();
    check_programs(&deployment, &all, to);
    let entries = deployment.entry_addresses();
    for (order, entry) in entries.iter().enumerate() {
        let told = Quote::new(order as u64).send(*entry).await;
        assert!(matches!(told, Told::Answer(_)), "{told:?}");
    }
    if is_from_snapshots {
        store.control(r#"{"outage":false}"#).await.expect("over");
    }
    let ctl = |args: &[&str]| run_ctl(to, &deployment, args);
    let got = ctl(&["--json", "contract", "get", "kalahari"]);
    let got: Value = serde_json::from_str(&got).expect("JSON");
    assert_eq!(got["generation"], written);
    assert_eq!(got["text"], with_share(30));
    let next = deployment.put_contract(&with_share(20), written).await;
    wait_in_force(&deployment, next.expect("accepted")).await;
    let history = ctl(&["contract", "history", "kalahari"]);
    assert!(history.contains("30% -> 20%"), "{history}");
    check_processes(&mut deployment).await;
}

/// Waits until the snapshot of each entry has a text.
async fn wait_for_snapshots(deployment: &Deployment, text: &str) {
    let until = Instant::now() + HANG;
    for entry in &deployment.entries {
        let file = entry.data_folder().join("config.snapshot");
        loop {
            let bytes = std::fs::read(&file).unwrap_or_default();
            if String::from_utf8_lossy(&bytes).contains(text) {
                break;
            }
            assert!(Instant::now() < until, "no {text} in {}", file.display());
            pause(20).await;
        }
    }
}

#[test]
fn the_new_build_reads_the_snapshots_of_the_old_one() {
    if let Some(old) = old_programs("the_new_build_reads_the_snapshots_of_the_old_one") {
        smol::block_on(handed_over(&old, &new_programs(), Source::Snapshots));
    }
}

#[test]
fn the_old_build_reads_the_snapshots_of_the_new_one() {
    if let Some(old) = old_programs("the_old_build_reads_the_snapshots_of_the_new_one") {
        smol::block_on(handed_over(&new_programs(), &old, Source::Snapshots));
    }
}

#[test]
fn the_new_build_reads_the_contract_that_the_old_one_stored() {
    if let Some(old) = old_programs("the_new_build_reads_the_contract_that_the_old_one_stored") {
        smol::block_on(handed_over(&old, &new_programs(), Source::Store));
    }
}

#[test]
fn the_old_build_reads_the_contract_that_the_new_one_stored() {
    if let Some(old) = old_programs("the_old_build_reads_the_contract_that_the_new_one_stored") {
        smol::block_on(handed_over(&new_programs(), &old, Source::Store));
    }
}

/// Runs `oleanderctl` of a build at the first entry, and returns what it prints.
fn run_ctl(programs: &Path, deployment: &Deployment, args: &[&str]) -> String {
    let mut command = Command::new(programs.join("oleanderctl"));
    let entry = format!("http://{}", deployment.entries[0].http);
    let command = command
        .env("OLEANDER_ENTRY", entry)
        .env_remove("OLEANDER_TOKEN")
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let child = spawn_child(command).expect("oleanderctl starts");
    let output = child.wait_with_output().expect("its output");
    assert!(output.status.success(), "{args:?}: {output:?}");
    String::from_utf8(output.stdout).expect("text")
}

/// Runs every command of `oleanderctl` at an entry of another build.
async fn command_all(ctl: &Path, entry: &Path) {
    let mut deployment = start(DeploymentCfg {
        programs: entry.to_owned(),
        entries: 1,
        ..cfg(1, 1)
    })
    .await;
    let file = deployment.folder().join("second.ini");
    std::fs::write(&file, with_share(30)).expect("written");
    let second = file.display().to_string();
    let change = "[class order-desk] share: 40% -> 30%";
    let run = |args: &[&str]| run_ctl(ctl, &deployment, args);
    let json = |args: &[&str]| -> Value { serde_json::from_str(&run(args)).expect("JSON") };

    assert!(run(&["contract", "check", &second]).contains("valid contract of kalahari"));
    assert!(run(&["contract", "get", "kalahari"]).contains("; generation 1"));
    assert!(run(&["contract", "diff", &second]).contains(change));
    assert!(run(&["contract", "apply", &second]).contains("kalahari generation 2"));
    let wait = ["contract", "wait", "--generation", "2", "kalahari"];
    assert!(run(&wait).contains("in force everywhere: kalahari generation 2"));
    let got = json(&["--json", "contract", "get", "kalahari"]);
    assert_eq!(got, json!({"generation": 2, "text": with_share(30)}));
    let history = json(&["--json", "contract", "history", "kalahari"]);
    assert_eq!(history["history"].as_array().map(Vec::len), Some(2));
    assert!(run(&["contract", "history", "kalahari"]).contains(change));

    let fleet = json(&["--json", "fleet"]);
    let agents = fleet["agents"].as_array().expect("agents");
    assert_eq!(agents.len(), 2, "{fleet}");
    assert!(agents.iter().all(|agent| agent["state"] == "serving"));
    assert!(run(&["fleet"]).contains("advisor-1"));

    let api = deployment.entries[0].api();
    let step = json!({"class": "advisor", "model": "advisor", "version": 1,
        "groups": [{"prompt": "advice", "lengths": [4]}]});
    let opened = api.post("/v1/trainers/advice/steps/7", &step).await;
    assert_eq!(opened.expect("an answer").status, 201);
    assert!(run(&["steps"]).contains("advice"));
    let steps = json(&["--json", "steps"]);
    assert_eq!(steps["steps"].as_array().map(Vec::len), Some(1));

    let body = json!({"model": "no-such-model", "prompt": "hello"});
    let refused = api.post("/v1/completions", &body).await.expect("an answer");
    let refused: Value = serde_json::from_str(&refused.body).expect("an error");
    let request = refused["error"]["request"].as_str().expect("a request");
    assert!(run(&["explain", request]).contains("unknown-target"));
    let explained = json(&["--json", "explain", request]);
    assert_eq!(explained["kind"], "unknown-target");
    check_processes(&mut deployment).await;
}

#[test]
fn the_old_oleanderctl_commands_a_new_entry() {
    if let Some(old) = old_programs("the_old_oleanderctl_commands_a_new_entry") {
        smol::block_on(command_all(&old, &new_programs()));
    }
}

#[test]
fn the_new_oleanderctl_commands_an_old_entry() {
    if let Some(old) = old_programs("the_new_oleanderctl_commands_an_old_entry") {
        smol::block_on(command_all(&new_programs(), &old));
    }
}
