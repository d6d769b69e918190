//! Test deployments of real processes, with stand-ins for the platform, engines and services.
#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub mod client_streams;
pub mod deployment;
pub mod deployment_size;
pub mod http;
pub mod node;
pub mod process;
pub mod relay;
pub mod relay_mode;
pub mod stand_ins;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::io::Read;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "desk.example";
pub const MODEL: &str = "advisor";
/// Timeout of [`wait_for`]; a test that reaches it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a configuration with a route for idempotent calls, one for calls that run at most once,
/// and one for jobs.
pub fn config(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({"name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": 1500, "goal_ms": 150, "prio": 2, "service": service, "attempts": 3})
    };
    let mut jobs = route("jobs", "/rollout/", "rollout", "llm");
    jobs["run_goal_ms"] = json!(7500);
    jobs["keep_s"] = json!(40);
    json!({
        "version": version,
        "routes": [route("calls", "/calls/", "safe", "desk"), jobs,
                   route("once", "/once/", "unsafe", "desk")],
        "services": [{"name": "desk", "health_path": "/health", "max_conns": 100},
                     {"name": "llm", "health_path": "/health", "max_conns": 100}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 1_000_000,
                   "header_ms": 3000, "idle_ms": 15000}
    })
}

/// Returns the configuration of [`config`] with routes for streams of the engines:
/// below `/chat/`, they may be resumed, below `/talk/` not.
pub fn config_with_streams(version: u64) -> Value {
    let mut config = config(version);
    let routes = config["routes"].as_array_mut().expect("routes");
    let route = |name: &str, resumable: bool| {
        json!({"name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": "stream",
            "timeout_ms": 60_000, "goal_ms": 400, "prio": 1, "service": "llm", "attempts": 3,
            "resumable": resumable})
    };
    routes.push(route("talk", false));
    routes.push(route("chat", true));
    config
}

/// Returns a job of `groups` groups of two items; item `n` generates `events + n % 3` events.
pub fn job(step: u64, oldest_version: u64, groups: usize, events: usize) -> Value {
    let items: Vec<Value> = (0..groups * 2)
        .map(|n| {
            let id = format!("{step:04x}{n:04x}");
            json!({"id": id, "path": format!("/rollout/{id}"),
                "headers": {"Model": MODEL, "Token-Count": "100,200"},
                "body": STANDARD.encode((events + n % 3).to_string()), "tokens": 300,
                "group": format!("g{}", n / 2),
                "scorer_url": {"id": format!("score-{id}"), "host": HOST, "path": "/calls/score",
                               "body": STANDARD.encode("score me")}})
        })
        .collect();
    json!({"step": step, "model": MODEL, "min_ver": oldest_version, "group_count": groups,
        "items": items})
}

/// Checks that the results hold each item of the job `body` once, with the complete text and the
/// score that the stand-ins return for it.
pub fn check_results(results: &[Value], body: &Value) {
    let items = body["items"].as_array().expect("items");
    assert_eq!(results.len(), items.len());
    for item in items {
        let id = item["id"].as_str().expect("an id");
        let of_item: Vec<&Value> = results.iter().filter(|one| one["id"] == id).collect();
        assert_eq!(of_item.len(), 1, "results of {id}");
        let count = STANDARD
            .decode(item["body"].as_str().expect("a body"))
            .expect("base64");
        let count: u64 = String::from_utf8_lossy(&count).parse().expect("a number");
        let lines: Vec<String> = (1..=count).map(|number| format!("{id}:{number}")).collect();
        assert_eq!(of_item[0]["state"], "done");
        assert_eq!(of_item[0]["text"], lines.join("\n"), "text of {id}");
        assert_eq!(of_item[0]["score"], format!("stamp-score-{id}"));
    }
}

/// Reads until the connection is closed or reset.
pub fn read_text(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // Fails when the connection is reset.
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Polls `condition` until it holds; fails the test with `what` after [`WAIT_TIMEOUT`].
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "{what}: not within {WAIT_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}
