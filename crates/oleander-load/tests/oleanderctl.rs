//! The commands of `oleanderctl`, run as an operator runs them.

mod support;

use oleander_load::deployment::Deployment;
use oleander_load::deployment_cfg::DeploymentCfg;
use oleander_load::tokens::Tokens;
use oleander_standins::free_address::spawn_child;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Instant;
use support::{CONTRACT, HANG, cfg, names, pause, start};

const OK: i32 = 0;
const FAILURE: i32 = 1;
const INVALID_CONTRACT: i32 = 3;
const CONFLICT: i32 = 4;
const NOT_IN_FORCE: i32 = 5;
const UNREACHABLE: i32 = 6;

/// How a command ended and what it printed.
#[derive(Debug)]
struct Ran {
    code: i32,
    out: String,
    err: String,
}

impl Ran {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|_| panic!("no JSON: {self:?}"))
    }

    #[track_caller]
    fn has(&self, code: i32, parts: &[&str]) -> &Self {
        assert_eq!(self.code, code, "{self:?}");
        let text = if code == OK { &self.out } else { &self.err };
        for part in parts {
            assert!(text.contains(part), "no `{part}` in {self:?}");
        }
        self
    }
}

fn ctl_at(entry: &str, args: &[&str]) -> Ran {
    let program = DeploymentCfg::default().programs.join("oleanderctl");
    let mut command = Command::new(program);
    let command = command
        .env("OLEANDER_ENTRY", entry)
        .env_remove("OLEANDER_TOKEN")
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let child = spawn_child(command).expect("oleanderctl is built");
    let output = child.wait_with_output().expect("its output");
    Ran {
        code: output.status.code().expect("an exit code"),
        out: String::from_utf8(output.stdout).expect("text"),
        err: String::from_utf8(output.stderr).expect("text"),
    }
}

fn ctl(deployment: &Deployment, args: &[&str]) -> Ran {
    ctl_at(&format!("http://{}", deployment.entries[0].http), args)
}

/// Runs a command that needs no entry.
fn alone(args: &[&str]) -> Ran {
    ctl_at("http://127.0.0.1:1", args)
}

fn write(folder: &Path, name: &str, text: &str) -> String {
    let file = folder.join(name);
    std::fs::write(&file, text).expect("written");
    file.display().to_string()
}

fn scratch(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("oleanderctl-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn with_share(share: u32) -> String {
    CONTRACT.replace("share = 40%", &format!("share = {share}%"))
}

#[test]
fn help_names_commands_options_and_exit_codes() {
    let help = alone(&["--help"]);
    let parts = ["contract", "fleet", "steps", "explain", "--json", "--entry"];
    help.has(OK, &parts)
        .has(OK, &["OLEANDER_ENTRY", "Exit codes"]);
    for internal in ["Arguments of", "The commands", "What to do."] {
        assert!(!help.out.contains(internal), "{}", help.out);
    }
    let contract = alone(&["contract", "--help"]);
    contract.has(OK, &["check", "apply", "get", "diff", "history", "wait"]);
    assert!(!contract.out.contains("The commands"), "{}", contract.out);
    alone(&["no-such-command"]).has(FAILURE, &["no-such-command"]);
    alone(&["contract", "apply"]).has(FAILURE, &["FILE"]);
}

#[test]
fn check_names_file_line_and_valid_values_of_every_fault() {
    let folder = scratch("check");
    let good = write(&folder, "good.ini", CONTRACT);
    alone(&["contract", "check", &good]).has(OK, &["valid contract of kalahari"]);
    let as_json = alone(&["--json", "contract", "check", &good]).json();
    assert_eq!(as_json, json!({ "customer": "kalahari", "valid": true }));

    let text = CONTRACT
        .replace("weigh = idle", "weigh = speed")
        .replace("latency-bound = 800ms", "latency-bound = 800")
        .replace("retries = 10%", "retrys = 10%");
    let bad = write(&folder, "bad.ini", &text);
    let line_of = |part: &str| {
        let mut lines = text.lines();
        lines.position(|line| line.starts_with(part)).expect(part) + 1
    };
    let ran = alone(&["contract", "check", &bad]);
    ran.has(
        INVALID_CONTRACT,
        &["idle, staleness", "ms, s, min, h", "hedges"],
    );
    for part in ["weigh", "latency-bound = 800", "retrys"] {
        let place = format!("{bad}: line {}: ", line_of(part));
        ran.has(INVALID_CONTRACT, &[&place]);
    }
    let ran = alone(&["--json", "contract", "check", &bad]);
    let error: Value = serde_json::from_str(&ran.err).expect("JSON");
    assert_eq!(error["error"]["code"], "invalid-contract");
    let text = CONTRACT.replace("share = 60%", "share = 70%");
    let sum = write(&folder, "sum.ini", &text);
    let ran = alone(&["contract", "check", &sum]);
    ran.has(INVALID_CONTRACT, &["sum up to 110%; at most 100%"]);
    let missing = folder.join("missing.ini").display().to_string();
    alone(&["contract", "check", &missing]).has(FAILURE, &[&missing]);
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn a_contract_is_amended_followed_and_remembered() {
    smol::block_on(async {
        let deployment = start(cfg(0, 1)).await;
        let first = write(deployment.folder(), "first.ini", CONTRACT);
        let second = write(deployment.folder(), "second.ini", &with_share(30));
        let change = "[class order-desk] share: 40% -> 30%";
        let run = |args: &[&str]| ctl(&deployment, args);

        run(&["contract", "get", "kalahari"]).has(OK, &["; generation 1", "weigh = idle"]);
        run(&["contract", "diff", &first]).has(OK, &["no changes against generation 1"]);
        run(&["contract", "diff", &second]).has(OK, &[change]);
        let diff = run(&["--json", "contract", "diff", &second]).json();
        assert_eq!(diff, json!({ "generation": 1, "changes": [change] }));

        run(&["contract", "apply", &second]).has(OK, &["accepted: kalahari generation 2"]);
        let wait = ["contract", "wait", "--generation", "2", "kalahari"];
        run(&wait).has(OK, &["in force everywhere: kalahari generation 2"]);
        let got = run(&["--json", "contract", "get", "kalahari"]).json();
        assert_eq!(got, json!({ "generation": 2, "text": with_share(30) }));
        let history = run(&["contract", "history", "kalahari"]);
        history.has(OK, &["GENERATION", "1           oldest kept", change]);
        let history = run(&["--json", "contract", "history", "kalahari"]).json();
        let history = history["history"].as_array().expect("a list").clone();
        let generations: Vec<&Value> = history.iter().map(|one| &one["generation"]).collect();
        assert_eq!(generations, [1, 2]);

        let none = ["get", "history", "wait"];
        for command in none {
            let ran = run(&["contract", command, "nobody"]);
            ran.has(FAILURE, &["there is no contract of nobody (not-found)"]);
        }
    });
}

#[test]
fn the_loser_of_a_race_is_shown_the_difference() {
    smol::block_on(async {
        let deployment = start(cfg(0, 1)).await;
        let winner = write(deployment.folder(), "winner.ini", &with_share(30));
        let loser = write(deployment.folder(), "loser.ini", &with_share(20));
        let run = |args: &[&str]| ctl(&deployment, args);
        run(&["contract", "apply", "--base", "1", &winner]).has(OK, &["generation 2"]);
        let lost = run(&["contract", "apply", "--base", "1", &loser]);
        let parts = [
            "generation 2 was accepted first",
            "not applied",
            "[class order-desk] share: 30% -> 20%",
        ];
        lost.has(CONFLICT, &parts);
        run(&["contract", "get", "kalahari"]).has(OK, &["share = 30%"]);
        let lost = run(&["--json", "contract", "apply", "--base", "1", &loser]);
        let error: Value = serde_json::from_str(&lost.err).expect("JSON");
        assert_eq!(error["error"]["code"], "conflict");
    });
}

#[test]
fn wait_names_the_process_that_lags_and_an_outage_is_told() {
    smol::block_on(async {
        let deployment = start(cfg(0, 2)).await;
        let lagging = names(&deployment, false).remove(0);
        let file = write(deployment.folder(), "next.ini", &with_share(30));
        let run = |args: &[&str]| ctl(&deployment, args);
        let agent = deployment.endpoints[0].agent.process().expect("running");
        agent.pause().expect("paused");
        run(&["contract", "apply", &file]).has(OK, &["generation 2"]);
        let wait = ["contract", "wait", "--timeout", "2", "kalahari"];
        let parts = ["not in force after 2 s", &lagging];
        run(&wait).has(NOT_IN_FORCE, &parts);
        agent.resume().expect("resumed");
        run(&["contract", "wait", "--timeout", "60", "kalahari"]).has(OK, &["generation 2"]);

        let store = deployment.platform.store_api();
        store.control(r#"{"outage":true}"#).await.expect("outage");
        let refused = run(&["contract", "apply", &file]);
        refused.has(FAILURE, &["store-unavailable"]);
        run(&["fleet"]).has(OK, &["serving"]);
    });
}

#[test]
fn fleet_steps_and_explain_tell_what_the_entry_knows() {
    smol::block_on(async {
        let deployment = start(cfg(1, 1)).await;
        let run = |args: &[&str]| ctl(&deployment, args);
        let agents = [names(&deployment, true), names(&deployment, false)].concat();
        // The platform's list tells the entries of each other with a lag.
        let until = Instant::now() + HANG;
        while !run(&["fleet"]).out.contains("entry-2") {
            assert!(Instant::now() < until, "entry-1 never lists entry-2");
            pause(50).await;
        }
        let fleet = run(&["fleet"]);
        fleet.has(OK, &["AGENT", "DOMAIN", "serving", "entry-1", "entry-2"]);
        for agent in &agents {
            fleet.has(OK, &[agent]);
        }
        let fleet = run(&["--json", "fleet"]).json();
        assert_eq!(fleet["agents"].as_array().map(Vec::len), Some(2));

        run(&["steps"]).has(OK, &["this entry owns no step"]);
        let api = deployment.entries[0].api();
        let step = json!({"class": "advisor", "model": "advisor", "version": 1,
            "groups": [{"prompt": "advice", "lengths": [4]}]});
        let opened = api.post("/v1/trainers/advice/steps/7", &step).await;
        assert_eq!(opened.expect("an answer").status, 201);
        run(&["steps"]).has(OK, &["advice", "7"]);
        let steps = run(&["--json", "steps"]).json();
        assert_eq!(steps["steps"].as_array().map(Vec::len), Some(1));

        let body = json!({"model": "no-such-model", "prompt": "hello"});
        let refused = api.post("/v1/completions", &body).await.expect("an answer");
        let refused: Value = serde_json::from_str(&refused.body).expect("an error");
        let request = refused["error"]["request"].as_str().expect("a request");
        let parts = [
            "unknown-target",
            "work ran: no",
            "what to do: check the name",
        ];
        run(&["explain", request]).has(OK, &parts);
        let explained = run(&["--json", "explain", request]).json();
        assert_eq!(explained["kind"], "unknown-target");
        run(&["explain", "0abc"]).has(FAILURE, &["remembers no refusal", "not-found"]);
    });
}

#[test]
fn tokens_are_demanded_and_a_silent_entry_is_told() {
    smol::block_on(async {
        let tokens = Tokens {
            operators: Some("right-token".to_owned()),
            ..Tokens::default()
        };
        let deployment = start(DeploymentCfg {
            tokens,
            ..cfg(0, 1)
        })
        .await;
        for args in [&["fleet"][..], &["--token", "wrong-token", "fleet"]] {
            ctl(&deployment, args).has(FAILURE, &["unauthorized"]);
        }
        ctl(&deployment, &["--token", "right-token", "fleet"]).has(OK, &["serving"]);
    });
    let silent = alone(&["fleet"]);
    silent.has(UNREACHABLE, &["http://127.0.0.1:1 does not answer"]);
    let silent = alone(&["--json", "fleet"]);
    let error: Value = serde_json::from_str(&silent.err).expect("JSON");
    assert_eq!(error["error"]["code"], "unreachable");
}
