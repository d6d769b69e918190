//! Answers of real processes over HTTP, and the objects that they store.

use super::examples::job;
use super::record::{Line, shape, text};
use crate::support::deployment::Deployment;
use crate::support::deployment_size::DeploymentSize;
use crate::support::http::{Reply, call};
use crate::support::node::Node;
use crate::support::{self, HOST, wait_for};
use http::StatusCode;
use http_body_util::BodyExt;
use oleander_platform::paths;
use oleander_platform_standins::stand_in_store::StandInStore;
use oleander_rollout::http::response::{self, FullResponse};
use oleander_rollout::peer::messages::{self, ItemOutcomes, KnownVersions, PullRequest};
use oleander_rollout::runtime;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::job::Job;
use oleanderlock::prelude::*;
use serde_json::Value;
use std::time::Duration;

const ONE_OF_EACH: DeploymentSize = DeploymentSize {
    entries: 1,
    engines: 1,
    dispatchers: 2,
    services: 1,
};

/// The status, the headers in order of names, and the body of an answer.
fn reply_text(reply: Option<Reply>) -> String {
    let reply = reply.expect("an answer");
    let headers = reply.headers.iter().filter(|(name, _)| *name != "date");
    let mut headers: Vec<String> = headers
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    headers.sort();
    let body = String::from_utf8_lossy(&reply.body);
    format!("{} | {} | {body}", reply.status, headers.join("; "))
}

fn answer_text(answer: FullResponse) -> String {
    let (head, body) = answer.into_parts();
    let body = runtime::run(body.collect()).expect("a body").to_bytes();
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| format!("{name}: {}", value.to_str().expect("text")));
    let headers: Vec<String> = headers.collect();
    let status = head.status.as_u16();
    format!(
        "{status} | {} | {}",
        headers.join("; "),
        String::from_utf8_lossy(&body)
    )
}

/// Returns the first answer that is no refusal: one that can't be sure yet refuses.
fn sure(ask: impl Fn() -> Option<Reply>) -> Option<Reply> {
    let mut answer = None;
    wait_for("an answer", || {
        answer = ask().filter(|reply| reply.status != 503);
        answer.is_some()
    });
    answer
}

/// The status of an answer, and the names and types of its body, for one with times and addresses.
fn shape_of(reply: Option<Reply>) -> String {
    let reply = reply.expect("an answer");
    let body: Value = serde_json::from_slice(&reply.body).expect("JSON");
    format!("{} {}", reply.status, shape(&body))
}

/// Returns what real processes answer, and what they stored.
pub fn http_answers() -> Vec<Line> {
    let mut lines = vec![
        text(
            "plain answer",
            answer_text(response::status(StatusCode::NOT_FOUND)),
        ),
        text("JSON answer", answer_text(response::json("{}"))),
        text("answer of bytes", answer_text(response::bytes("x"))),
        text("refusal", answer_text(response::refusal(Millis(1234)))),
    ];
    let deployment = Deployment::start(ONE_OF_EACH);
    lines.extend(entry_answers(&deployment));
    lines.extend(job_answers(&deployment));
    lines.extend(dispatcher_answers(&deployment));
    lines.extend(stored_shapes(&deployment));
    lines.extend(answers_without_config());
    lines
}

fn entry_answers(deployment: &Deployment) -> Vec<Line> {
    let ask = |method: &str, path: &str, body: &[u8]| {
        reply_text(sure(|| {
            deployment.call(0, method, path, &[("request-id", "r-1")], body)
        }))
    };
    let ready = call(deployment.entries[0].ready, "GET", paths::READY, &[], b"");
    let large = vec![b' '; 1_000_001];
    vec![
        text("ready", reply_text(ready)),
        text("call", ask("POST", "/calls/a", b"x")),
        text("no route", ask("GET", "/nowhere", b"")),
        text("job that is no JSON", ask("POST", "/rollout/j", b"x")),
        text("read of a route for jobs", ask("GET", "/rollout/j", b"")),
        text("body that is too large", ask("POST", "/calls/a", &large)),
        text("results of an unknown job", ask("GET", "/-/lots/none", b"")),
        text("odd read of results", ask("GET", "/-/lots/j?after=x", b"")),
        text(
            "body of an unknown job",
            ask("GET", "/-/items/none?id=i", b""),
        ),
        text("end of an unknown job", ask("DELETE", "/-/lots/none", b"")),
    ]
}

/// A job whose one item makes so many events that its run is kept in pages of checkpoints.
fn long_job() -> Value {
    let mut job = support::job(1, 0, 1, 700);
    job["items"].as_array_mut().expect("items").truncate(1);
    job
}

fn job_answers(deployment: &Deployment) -> Vec<Line> {
    deployment.engines[0].set_event_interval(Duration::from_millis(3));
    let body = long_job().to_string();
    let ask = |method: &str, path: &str, body: &str| {
        let head = [("request-id", "j-1"), ("deadline-ms", "20000")];
        sure(|| deployment.call(0, method, path, &head, body.as_bytes()))
    };
    let item_path = "/-/items/j-1?id=00010000";
    let accepted = ask("POST", "/rollout/j-1", &body);
    let again = ask("POST", "/rollout/j-1", &body);
    let item = ask("GET", item_path, "");
    wait_for("a page of checkpoints is there", || {
        deployment.store.get("run-checkpoints", "0").is_some()
    });
    deployment.read_all(0, "j-1", 1);
    let results = ask("GET", "/-/lots/j-1", "");
    let kind = results
        .as_ref()
        .and_then(|reply| reply.headers.get("content-type").cloned());
    let end = ask("DELETE", "/-/lots/j-1", "");
    let ended = ask("GET", item_path, "");
    vec![
        text("accepted job", reply_text(accepted)),
        text("job accepted before", reply_text(again)),
        text("body of an item", reply_text(item)),
        text("results", format!("{kind:?} {}", shape_of(results))),
        text("end of a job", reply_text(end)),
        text("body of an item of a job that has ended", reply_text(ended)),
    ]
}

fn dispatcher_answers(deployment: &Deployment) -> Vec<Line> {
    let leads = deployment.leader().expect("a leader");
    let at = |n: usize, method: &str, path: &str, body: &[u8]| {
        call(
            deployment.dispatchers[n].peers,
            method,
            path,
            &[("host", HOST)],
            body,
        )
    };
    let leader = |method: &str, path: &str, body: &[u8]| at(leads, method, path, body);
    let job = serde_json::to_vec(&Job {
        id: "j-2".to_owned(),
        ..job()
    })
    .expect("JSON");
    let known = serde_json::to_vec(&KnownVersions::default()).expect("JSON");
    let agent = AgentReport {
        agent: "a-x".to_owned(),
        ..AgentReport::default()
    };
    let report = serde_json::to_vec(&PullRequest {
        report: agent,
        parts: vec![],
        caller_rank: None,
        demand: vec![],
    })
    .expect("JSON");
    let hand_in = serde_json::to_vec(&ItemOutcomes::default()).expect("JSON");
    wait_for("the leader tells of endpoints", || {
        let news = leader("POST", messages::PLATFORM_UPDATES, &known);
        let news = news.and_then(|reply| serde_json::from_slice::<Value>(&reply.body).ok());
        news.is_some_and(|news| !news["endpoints"].is_null())
    });
    vec![
        text(
            "health of the leader",
            shape_of(leader("GET", messages::HEALTH, b"")),
        ),
        text(
            "call of a standby",
            reply_text(at(1 - leads, "POST", messages::PULL, b"{}")),
        ),
        text(
            "unknown path of the leader",
            reply_text(leader("GET", "/nowhere", b"")),
        ),
        text(
            "odd report",
            reply_text(leader("POST", messages::REPORT, b"{}")),
        ),
        text(
            "odd news",
            reply_text(leader("POST", messages::PLATFORM_UPDATES, b"{}")),
        ),
        text(
            "odd hand-in",
            reply_text(leader("POST", messages::OUTCOMES, b"{}")),
        ),
        text(
            "odd job",
            reply_text(leader("POST", "/jobs/j/accept", b"{}")),
        ),
        text(
            "news",
            shape_of(sure(|| leader("POST", messages::PLATFORM_UPDATES, &known))),
        ),
        text(
            "answer to a report",
            shape_of(leader("POST", messages::REPORT, &report)),
        ),
        text(
            "answer to a hand-in",
            reply_text(leader("POST", messages::OUTCOMES, &hand_in)),
        ),
        text(
            "relayed job",
            reply_text(leader("POST", "/jobs/j-2/accept", &job)),
        ),
        text(
            "job relayed before",
            reply_text(leader("POST", "/jobs/j-2/accept", &job)),
        ),
        text(
            "results at the leader",
            reply_text(leader("GET", "/jobs/none/results", b"")),
        ),
    ]
}

/// Names and types of what the processes stored.
fn stored_shapes(deployment: &Deployment) -> Vec<Line> {
    let names = [
        ("dispatchers", "leader"),
        ("dispatchers", "node-dispatcher-0"),
        ("dispatcher-pulses", "leader"),
        ("jobs", "j-1"),
        ("job-ends", "j-1"),
        ("results", "000000000000"),
        ("run-checkpoints", "0"),
    ];
    let shapes = names.map(|(kind, name)| {
        let object = deployment.store.get(kind, name);
        let object = object.unwrap_or_else(|| panic!("no {kind}/{name} in the store"));
        text(format!("stored {kind}/{name}"), shape(&object["spec"]))
    });
    shapes.into_iter().collect()
}

/// Answers of an entry that knows no configuration.
fn answers_without_config() -> Vec<Line> {
    let store = StandInStore::spawn();
    let mut entry = Node::new("early-entry", "entry", store.addr(), None);
    entry.start();
    let mut ready = None;
    wait_for("the entry answers", || {
        ready = call(entry.ready, "GET", paths::READY, &[], b"");
        ready.is_some()
    });
    let head = [("host", HOST), ("request-id", "r-1")];
    let refused = call(entry.calls, "GET", "/calls/a", &head, b"");
    let metrics = call(entry.metrics, "GET", "/metrics", &[], b"").expect("an answer");
    let page = String::from_utf8_lossy(&metrics.body).into_owned();
    let counted = page
        .lines()
        .filter(|line| line.starts_with("oleanderlock_refusals"));
    let counted: Vec<&str> = counted.collect();
    vec![
        text("not ready", reply_text(ready)),
        text("no configuration", reply_text(refused)),
        text(
            "metrics of a refusal",
            format!("{} {}", metrics.status, counted.join(" ")),
        ),
    ]
}
