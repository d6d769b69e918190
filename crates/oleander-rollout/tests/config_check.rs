//! The check of a configuration: a smallest example for each finding and difference, what passes is
//! usable by all programs, and the command with its exit codes.

mod support;

use oleander_platform::config::{decode_config, decode_config_with_places};
use oleander_platform_standins::stand_in_store::StandInStore;
use oleander_rollout::config_check::check_report::CheckReport;
use oleander_rollout::config_check::report_format::ReportFormat;
use oleander_standins::free_address::{free_address, spawn_child};
use oleanderlock::config_check::difference_kind::DifferenceKind;
use oleanderlock::config_check::finding_kind::FindingKind;
use oleanderlock::routing::deployment_config::DeploymentConfig;
use oleanderlock::routing::route_table::RouteTable;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use support::config_with_streams;
use support::process::PROGRAM;

/// Random configurations of the property test.
const CONFIGS: u64 = 3000;
/// Text that is in each key of the tests and must not be printed.
const SECRET: &str = "hush";

/// Returns a configuration without findings, with two workspaces.
fn clean() -> Value {
    let mut config = config_with_streams(7);
    config["tenants"] = json!([
        {"name": "a", "api_keys": ["hush-a0", "hush-a1"]},
        {"name": "b", "api_keys": ["hush-b0"], "prio": 1}
    ]);
    config
}

fn check(config: &Value, in_force: Option<&Value>) -> CheckReport {
    let decode = |config: &Value| {
        decode_config_with_places(&config.to_string()).expect("a readable configuration")
    };
    let in_force = in_force.map(|in_force| decode(in_force).config);
    let report = CheckReport::new(&decode(config), in_force.as_ref());
    for format in [ReportFormat::Text, ReportFormat::Json] {
        let text = report.print(format).expect("a report");
        assert!(!text.contains(SECRET), "{text}");
    }
    report
}

/// Returns the clean configuration with this value at a JSON pointer.
fn with(pointer: &str, value: Value) -> Value {
    let mut config = clean();
    let (parent, name) = pointer.rsplit_once('/').expect("a pointer");
    let parent = config.pointer_mut(parent).expect("a part");
    match parent {
        Value::Array(items) if name == "-" => items.push(value),
        Value::Array(items) => items[name.parse::<usize>().expect("an index")] = value,
        parent => parent[name] = value,
    }
    config
}

#[test]
fn configuration_of_the_tests_has_no_findings() {
    assert_eq!(check(&clean(), None).findings, []);
    assert_eq!(check(&config_with_streams(1), None).findings, []);
}

/// Guards against a finding that is not reported, is reported at another place, or with others.
#[test]
fn each_finding_has_a_smallest_example() {
    use FindingKind::{
        AttemptsAboveTimeout, GoalAboveTimeout, KeepBelowDue, MinAboveMax, NeverMatches, NoKeys,
        NoWeight, Replaced, SharedKey, UndefinedService, Unreadable,
    };
    let first_route = clean()["routes"][0].clone();
    let cases = [
        (
            Unreadable,
            "routes[0].kind",
            with("/routes/0/kind", json!("other")),
        ),
        (
            Unreadable,
            "routes[0].timeout_ms",
            with("/routes/0/timeout_ms", json!("x")),
        ),
        (
            Unreadable,
            "routes[0].service",
            with("/routes/0/service", json!(null)),
        ),
        (
            Unreadable,
            "routes[5]",
            with("/routes/-", json!({"name": "x"})),
        ),
        (
            Unreadable,
            "services[2].max_conns",
            with("/services/-", json!({"name": "x", "max_conns": -1})),
        ),
        (
            Unreadable,
            "tenants[1].prio",
            with("/tenants/1/prio", json!("hush")),
        ),
        (
            Unreadable,
            "tenants[0].api_keys[2]",
            with("/tenants/0/api_keys/-", json!(5)),
        ),
        (
            Replaced,
            "services[0]",
            with("/services/-", json!({"name": "desk"})),
        ),
        (
            NeverMatches,
            "routes[5].path_prefix",
            with("/routes/-", first_route),
        ),
        (
            NeverMatches,
            "routes[0].path_prefix",
            with("/routes/0/path_prefix", json!("calls/")),
        ),
        (
            UndefinedService,
            "routes[0].service",
            with("/routes/0/service", json!("none")),
        ),
        (
            NoKeys,
            "tenants[1].api_keys",
            with("/tenants/1/api_keys", json!([])),
        ),
        (
            SharedKey,
            "tenants[1].api_keys[1]",
            with("/tenants/1/api_keys/-", json!("hush-a1")),
        ),
        (
            GoalAboveTimeout,
            "routes[0].goal_ms",
            with("/routes/0/goal_ms", json!(1501)),
        ),
        (
            AttemptsAboveTimeout,
            "routes[0].attempts",
            with("/routes/0/attempts", json!(11)),
        ),
        (
            KeepBelowDue,
            "routes[1].keep_s",
            with("/routes/1/keep_s", json!(7)),
        ),
        (
            MinAboveMax,
            "services[0].scale",
            with("/services/0/scale", json!({"min": 3, "max": 2})),
        ),
        (NoWeight, "routes[0].split", {
            let mut config = with(
                "/routes/0/split",
                json!([{"service": "desk", "weight": 1}, {"service": "llm", "weight": 0}]),
            );
            config["routes"][0]["service"] = json!(null);
            config
        }),
    ];
    for (kind, place, config) in cases {
        let findings = check(&config, None).findings;
        let found: Vec<_> = findings
            .iter()
            .map(|finding| (finding.kind, finding.place.as_str()))
            .collect();
        assert_eq!(found, [(kind, place)], "{findings:?}");
    }
}

/// Guards against findings where limits are just met.
#[test]
fn limits_that_are_just_met_are_no_findings() {
    for (pointer, value) in [
        ("/routes/0/goal_ms", json!(500)),
        ("/routes/0/attempts", json!(10)),
        ("/routes/1/keep_s", json!(7.5)),
        ("/services/0/scale", json!({"min": 2, "max": 2})),
        ("/routes/0/goal_ms", json!(null)),
        ("/tenants/0/api_keys/1", json!("hush-a0")),
    ] {
        let report = check(&with(pointer, value), None);
        assert_eq!(report.findings, [], "{pointer}");
    }
}

/// Guards against differences that are missed, or that say the opposite of what callers will see.
#[test]
fn each_difference_has_a_smallest_example() {
    use DifferenceKind::{Alters, Closes, Moves, Narrows, Opens, Widens};
    let cases = [
        (
            Opens,
            "route `new` (desk.example/new/)",
            with("/routes/-", {
                let mut route = clean()["routes"][0].clone();
                route["name"] = json!("new");
                route["path_prefix"] = json!("/new/");
                route
            }),
        ),
        (
            Moves,
            "route `longer` (desk.example/calls/x/)",
            with("/routes/-", {
                let mut route = clean()["routes"][0].clone();
                route["name"] = json!("longer");
                route["path_prefix"] = json!("/calls/x/");
                route
            }),
        ),
        (
            Moves,
            "route `calls` (desk.example/calls/)",
            with("/routes/0/service", json!("llm")),
        ),
        (
            Widens,
            "route `calls` (desk.example/calls/)",
            with("/routes/0/timeout_ms", json!(1600)),
        ),
        (
            Narrows,
            "route `calls` (desk.example/calls/)",
            with("/routes/0/attempts", json!(2)),
        ),
        (
            Alters,
            "route `calls` (desk.example/calls/)",
            with("/routes/0/kind", json!("unsafe")),
        ),
        (
            Opens,
            "route `calls` (desk.example/calls/)",
            with("/routes/0/public", json!(true)),
        ),
        (
            Alters,
            "service `more`",
            with("/services/-", json!({"name": "more"})),
        ),
        (
            Narrows,
            "service `desk`",
            with("/services/0/max_conns", json!(99)),
        ),
        (
            Narrows,
            "limits",
            with("/limits/max_body_bytes", json!(999_999)),
        ),
        (
            Opens,
            "workspace `a`",
            with("/tenants/0/api_keys/-", json!("hush-a2")),
        ),
        (
            Closes,
            "workspace `a`",
            with("/tenants/0/api_keys", json!(["hush-a0"])),
        ),
        (Alters, "workspace `b`", with("/tenants/1/prio", json!(0))),
        (Opens, "workspaces", with("/tenants", json!(null))),
    ];
    for (kind, subject, mut config) in cases {
        config["version"] = json!(8);
        let report = check(&config, Some(&clean()));
        assert_eq!(report.findings, [], "{subject}");
        let differences = report.differences.expect("a comparison");
        let found: Vec<_> = differences
            .iter()
            .map(|difference| (difference.kind, difference.subject.as_str()))
            .collect();
        assert_eq!(found, [(kind, subject)], "{differences:?}");
    }
    // The other way round.
    let mut before = clean();
    before["version"] = json!(6);
    before["routes"].as_array_mut().expect("routes").pop();
    let mut removed = before.clone();
    removed["version"] = json!(8);
    let kinds = |new: &Value, old: &Value| {
        let differences = check(new, Some(old)).differences.expect("a comparison");
        let kinds = differences.into_iter();
        kinds.map(|difference| difference.kind).collect::<Vec<_>>()
    };
    assert_eq!(kinds(&clean(), &before), [Opens]);
    assert_eq!(kinds(&removed, &clean()), [Closes]);
    let moved = with(
        "/tenants",
        json!([
            {"name": "a", "api_keys": ["hush-a0"]},
            {"name": "b", "api_keys": ["hush-b0", "hush-a1"], "prio": 1}
        ]),
    );
    assert_eq!(kinds(&moved, &clean()), [Moves]);
}

/// Guards against a changed configuration that never gets into force.
#[test]
fn changed_configuration_needs_a_newer_version() {
    let changed = with("/routes/0/attempts", json!(2));
    let findings = check(&changed, Some(&clean())).findings;
    assert_eq!(findings.len(), 1);
    assert_eq!(findings[0].kind, FindingKind::NotNewer);
    let same = check(&clean(), Some(&clean()));
    assert_eq!((same.findings, same.differences), (vec![], Some(vec![])));
}

/// Returns a random configuration in which each part may be at fault.
fn random_config(rng: &mut StdRng) -> Value {
    let pick =
        |rng: &mut StdRng, values: &[Value]| values[rng.random_range(0..values.len())].clone();
    let names = ["s0", "s1", "s2"];
    let services = rng.random_range(0..4);
    let services: Vec<Value> = (0..services)
        .map(|_| {
            let name = names[rng.random_range(0..names.len())];
            let mut service = json!({"name": name});
            if rng.random() {
                let (min, max) = (rng.random_range(0..4), rng.random_range(0..6));
                service["scale"] = json!({"min": min, "max": max, "boot_s": 1.5});
            }
            service
        })
        .collect();
    let routes = rng.random_range(0..4);
    let routes: Vec<Value> = (0..routes)
        .map(|n| {
            let prefixes = [json!("/"), json!("/a/"), json!("/a/b/"), json!("/c/"), json!("x")];
            let mut route = json!({
                "name": format!("r{n}"),
                "host": pick(rng, &[json!("h"), json!("i")]),
                "path_prefix": pick(rng, &prefixes),
                "kind": pick(rng, &[json!("safe"), json!("unsafe"), json!("stream"), json!("rollout")]),
            });
            if rng.random_range(0..20) == 0 {
                route["kind"] = pick(rng, &[json!("odd"), json!(3), json!(null)]);
            }
            for (name, values) in [
                ("timeout_ms", [json!(100), json!(1000.5), json!(60_000)]),
                ("goal_ms", [json!(50), json!(1000), json!(2000)]),
                ("attempts", [json!(0), json!(1), json!(3)]),
                ("keep_s", [json!(1), json!(60), json!(100)]),
                ("run_goal_ms", [json!(500), json!(7000), json!(70_000)]),
            ] {
                if rng.random_range(0..3) == 0 {
                    route[name] = pick(rng, &values);
                }
            }
            if rng.random() {
                route["service"] = json!(names[rng.random_range(0..names.len())]);
            } else {
                let targets = rng.random_range(1..3);
                let split: Vec<Value> = (0..targets)
                    .map(|_| {
                        let service = names[rng.random_range(0..names.len())];
                        json!({"service": service, "weight": rng.random_range(0..3)})
                    })
                    .collect();
                route["split"] = json!(split);
            }
            route
        })
        .collect();
    let mut config = json!({"version": 3, "routes": routes, "services": services});
    if rng.random() {
        let tenants = rng.random_range(0..3);
        let tenants: Vec<Value> = (0..tenants)
            .map(|n| {
                let keys = rng.random_range(0..3);
                let keys: Vec<Value> = (0..keys)
                    .map(|_| json!(format!("hush-{}", rng.random_range(0..9))))
                    .collect();
                json!({"name": format!("w{n}"), "api_keys": keys})
            })
            .collect();
        config["tenants"] = json!(tenants);
    }
    config
}

/// Guards against a configuration that passes the check and that a program then leaves out in part,
/// decodes in another way than the leader, or never uses.
#[test]
fn what_passes_is_decoded_by_all_programs() {
    let mut passed = 0;
    for seed in 0..CONFIGS {
        let config = random_config(&mut StdRng::seed_from_u64(seed));
        if !check(&config, None).findings.is_empty() {
            continue;
        }
        passed += 1;
        // The store's watchers.
        let (decoded, errors) = decode_config(&config.to_string()).expect("a configuration");
        assert_eq!(errors, [], "seed {seed}");
        assert_eq!(
            decoded.routes.len(),
            config["routes"].as_array().map_or(0, Vec::len)
        );
        assert_eq!(
            decoded.services.len(),
            config["services"].as_array().map_or(0, Vec::len)
        );
        // Entries and agents that the leader tells.
        let message = serde_json::to_string(&decoded).expect("a message");
        let told: DeploymentConfig = serde_json::from_str(&message).expect("the configuration");
        assert_eq!(told, decoded, "seed {seed}");
        let table = RouteTable::new(told);
        for route in &decoded.routes {
            let found = table.find(&route.host, &route.path_prefix);
            assert_eq!(
                found.map(|found| &found.name),
                Some(&route.name),
                "seed {seed}"
            );
            let service = route.pick_service(rand::random()).expect("a service");
            assert!(decoded.services.contains_key(service), "seed {seed}");
        }
    }
    assert!(passed > CONFIGS / 20, "only {passed} of {CONFIGS} pass");
}

/// Writes a file for the command.
fn file(name: &str, text: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("oleander-config-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

/// Runs the program with these arguments and returns its exit code and output.
fn run(args: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(PROGRAM);
    let command = command.args(args).stdin(Stdio::null());
    let child = spawn_child(command.stdout(Stdio::piped()).stderr(Stdio::piped()));
    let output = child.and_then(std::process::Child::wait_with_output);
    let Output {
        status,
        stdout,
        stderr,
    } = output.expect("the program runs");
    let text = [stdout, stderr].concat();
    (status.code(), String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn exit_code_tells_clean_findings_and_unreadable_apart() {
    let clean_file = file("clean.json", &clean().to_string());
    let clean_file = clean_file.to_str().expect("a path");
    let odd = file(
        "odd.json",
        &with("/routes/0/attempts", json!(11)).to_string(),
    );
    let odd = odd.to_str().expect("a path");
    let broken = file("broken.json", "{\"version\": 1,\n \"routes\": [}");
    let broken = broken.to_str().expect("a path");
    let secret = file("secret.json", "{\"version\": 1, \"tenants\": \"hush\"}");
    let secret = secret.to_str().expect("a path");
    let command = |args: &[&str]| run(&[&["config", "check"], args].concat());

    assert_eq!(command(&[clean_file]), (Some(0), "findings=0\n".to_owned()));
    let (code, text) = command(&[odd]);
    assert_eq!(code, Some(1), "{text}");
    assert!(
        text.contains("finding: routes[0].attempts: attempts-above-timeout: "),
        "{text}"
    );
    let (code, text) = command(&["--format", "json", odd]);
    assert_eq!(code, Some(1), "{text}");
    let report: Value = serde_json::from_str(&text).expect("a JSON report");
    assert_eq!(report["findings"][0]["kind"], "attempts-above-timeout");
    assert_eq!(report["findings"][0]["place"], "routes[0].attempts");

    let (code, text) = command(&[broken]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("line 2 column"), "{text}");
    let (code, text) = command(&[secret]);
    assert_eq!(code, Some(2), "{text}");
    assert!(!text.contains(SECRET), "{text}");
    assert_eq!(command(&["/no/such/file"]).0, Some(2));
    assert_eq!(
        command(&["--against", "/no/such/file", clean_file]).0,
        Some(2)
    );

    let newer = file("newer.json", &with("/version", json!(8)).to_string());
    let newer = newer.to_str().expect("a path");
    let (code, text) = command(&["--against", clean_file, newer]);
    assert_eq!(
        (code, text.as_str()),
        (Some(0), "findings=0 differences=0\n")
    );
}

#[test]
fn configuration_is_compared_with_the_one_in_the_store() {
    let store = StandInStore::spawn();
    let addr = store.addr().to_string();
    let mut new = with("/routes/0/timeout_ms", json!(2000));
    new["version"] = json!(8);
    let new = file("for-store.json", &new.to_string());
    let new = new.to_str().expect("a path");
    let (code, text) = run(&["config", "check", "--against-store", &addr, new]);
    assert_eq!(code, Some(2), "{text}");
    store.put("config", "main", &clean());
    let (code, text) = run(&["config", "check", "--against-store", &addr, new]);
    assert_eq!(code, Some(0), "{text}");
    assert!(
        text.contains("widens: timeout in ms: 1500 -> 2000"),
        "{text}"
    );
    assert!(!text.contains(SECRET), "{text}");
    let silent = free_address().expect("a free address").to_string();
    let (code, text) = run(&["config", "check", "--against-store", &silent, new]);
    assert_eq!(code, Some(2), "{text}");
}

/// Guards against a change of the command line that starts processes.
#[test]
fn command_line_of_processes_stays_as_it_is() {
    let settings = file("odd.ini", "[node]\n");
    let settings = settings.to_str().expect("a path");
    let (code, text) = run(&["--settings", settings, "--check", "entry"]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("odd.ini:\n"), "{text}");
    let (code, _) = run(&["--settings", settings, "config"]);
    assert_ne!(code, Some(0));
}
