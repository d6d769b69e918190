//! One request can be followed by its id through the logs of entry and agent.

mod support;

use oleander_daemon::entry::agent_view::AgentView;
use oleander_load::deployment::Deployment;
use oleander_load::deployment_cfg::DeploymentCfg;
use oleander_standins::api::Api;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Instant;
use support::{HANG, cfg, pause, start};
use trillium_client::Method;

async fn deployment() -> Deployment {
    let cfg = DeploymentCfg {
        entries: 1,
        log_level: "debug".to_owned(),
        ..cfg(1, 1)
    };
    start(cfg).await
}

/// Returns the lines of one process that name the request.
fn lines(deployment: &Deployment, process: &str, request: &str) -> Vec<String> {
    let file = deployment.folder().join(format!("{process}.log"));
    let text = std::fs::read_to_string(file).expect("a log");
    let wanted = format!("request={request}");
    let lines = text.lines().filter(|line| line.contains(&wanted));
    lines.map(str::to_owned).collect()
}

/// Returns the events of one process on the request, once there are `count`.
async fn events(d: &Deployment, process: &str, request: &str, count: usize) -> Vec<String> {
    let until = Instant::now() + HANG;
    loop {
        let lines = lines(d, process, request);
        if lines.len() >= count {
            return lines.iter().map(|line| event(line)).collect();
        }
        assert!(Instant::now() < until, "{process} says only {lines:?}");
        pause(20).await;
    }
}

/// Checks that a line is nothing but key=value pairs and returns its event.
fn event(line: &str) -> String {
    let pairs = line
        .split(' ')
        .map(|pair| pair.split_once('=').expect(line));
    let pairs: Vec<(&str, &str)> = pairs.collect();
    let keys: Vec<&str> = pairs.iter().map(|(key, _)| *key).collect();
    assert_eq!(keys[..4], ["time", "level", "process", "event"], "{line}");
    pairs[3].1.to_owned()
}

#[test]
fn an_answered_request_is_followed_from_entry_to_agent() {
    smol::block_on(async {
        let d = deployment().await;
        let api = d.entries[0].api();
        let body = json!({"model": "advisor", "prompt": "hello", "max_tokens": 4});
        let reply = api.post("/v1/completions", &body).await.expect("an answer");
        let answer: Value = reply.json().expect("an answer");
        let request = answer["id"].as_str().expect("an id");
        let entry = events(&d, "entry-1", request, 3).await;
        assert_eq!(entry, ["accepted", "sent", "answered"]);
        let agent = events(&d, "advisor-1", request, 2).await;
        assert_eq!(agent, ["started", "finished"]);
        let sent = &lines(&d, "entry-1", request)[1];
        assert!(sent.contains("attempt=0 agent=advisor-1"), "{sent}");
        let answered = &lines(&d, "entry-1", request)[2];
        assert!(
            answered.contains("result=ok ran=yes attempts=1"),
            "{answered}"
        );
    });
}

/// Sends calls all at once and returns the bodies of their answers.
async fn quotes(entry: SocketAddr, orders: Range<u64>, deadline_ms: u64) -> Vec<Value> {
    let calls = orders.map(|order| support::Quote::new(order).within(deadline_ms));
    let calls = calls.map(|quote| smol::spawn(async move { raw(entry, &quote).await }));
    let calls: Vec<_> = calls.collect();
    let mut bodies = Vec::new();
    for call in calls {
        bodies.push(call.await);
    }
    bodies
}

/// Returns a request that was refused for one of these reasons.
fn refused(bodies: &[Value], kinds: &[&str]) -> String {
    let errors = bodies.iter().map(|body| &body["error"]);
    let is_wanted = |error: &&Value| kinds.iter().any(|kind| error["kind"] == *kind);
    let found = errors.clone().find(is_wanted);
    let request = found.and_then(|error| error["request"].as_str());
    let kinds: Vec<&Value> = errors.map(|error| &error["kind"]).collect();
    let request = request.unwrap_or_else(|| panic!("told only {kinds:?}"));
    request.to_owned()
}

#[test]
fn a_refused_request_is_named_at_entry_and_agent() {
    smol::block_on(async {
        let d = deployment().await;
        let entry = d.entries[0].http;
        support::control(&d, false, r#"{"service_ms":500}"#).await;
        quotes(entry, 0..8, 5000).await;
        let bodies = quotes(entry, 8..100, 5000).await;
        let request = refused(&bodies, &["overloaded", "share-exhausted"]);
        let agent = events(&d, "quote-availability-1", &request, 1).await;
        assert!(agent.iter().all(|event| event == "refused"), "{agent:?}");
        let entry = events(&d, "entry-1", &request, 3).await;
        assert_eq!(entry.first().map(String::as_str), Some("accepted"));
        assert_eq!(entry.last().map(String::as_str), Some("refused"));
    });
}

#[test]
fn a_call_that_still_waits_at_its_deadline_is_told_so() {
    smol::block_on(async {
        let d = deployment().await;
        support::control(&d, false, r#"{"service_ms":2000}"#).await;
        let bodies = quotes(d.entries[0].http, 0..40, 2500).await;
        let kinds: Vec<String> = bodies
            .iter()
            .map(|body| body["error"]["kind"].to_string())
            .collect();
        let request = refused(&bodies, &["deadline-before-start"]);
        assert!(!kinds.contains(&"\"cancelled\"".to_owned()), "{kinds:?}");
        let agent = events(&d, "quote-availability-1", &request, 1).await;
        assert!(!agent.contains(&"started".to_owned()), "{agent:?}");
    });
}

async fn raw(entry: SocketAddr, quote: &support::Quote) -> Value {
    let api = Api::new(entry);
    let conn = api
        .conn(Method::Post, "/v1/services/quote/quote")
        .with_request_header("content-type", "application/json")
        .with_request_header("x-deadline-ms", quote.deadline_ms.to_string());
    let body = json!({ "order": quote.order }).to_string();
    let reply = api.send(conn.with_body(body)).await;
    reply.map_or(Value::Null, |reply| {
        serde_json::from_str(&reply.body).unwrap_or(Value::Null)
    })
}

#[test]
fn the_samples_of_a_step_name_their_requests() {
    smol::block_on(async {
        let d = deployment().await;
        let api = d.entries[0].api();
        let step = json!({"class": "advisor", "model": "advisor", "version": 1,
            "groups": [{"prompt": "advice", "lengths": [4, 5]}]});
        let opened = api.post("/v1/trainers/advice/steps/7", &step).await;
        assert_eq!(opened.expect("an answer").status, 201);
        // The step is acknowledged before its samples are requested.
        let requested = "event=sample-requested";
        let log = d.folder().join("entry-1.log");
        let until = Instant::now() + HANG;
        let mut text = String::new();
        while !text.contains(requested) && Instant::now() < until {
            pause(20).await;
            text = std::fs::read_to_string(&log).expect("a log");
        }
        let mut samples = text.lines().filter(|line| line.contains(requested));
        let sample = samples.next().unwrap_or_default();
        assert!(sample.contains("step=advice/7 group=0 index=0"), "{text}");
        let (_, request) = sample.split_once("request=").expect("a request");
        let agent = events(&d, "advisor-1", request, 2).await;
        assert_eq!(agent, ["started", "finished"]);
    });
}

#[test]
fn an_ejected_endpoint_is_named_in_log_counter_and_fleet() {
    smol::block_on(async {
        let cfg = DeploymentCfg {
            entries: 1,
            ..cfg(4, 0)
        };
        let d = start(cfg).await;
        let hanging = &d.endpoints[0];
        let switches = hanging.api().control(r#"{"hang":true}"#).await;
        switches.expect("switches");
        let entry = &d.entries[0];
        let wanted = format!("event=ejected agent={} reason=silent", hanging.agent.name);
        let until = Instant::now() + HANG;
        let mut calls = Vec::new();
        let mut is_shown = false;
        while !is_shown {
            assert!(Instant::now() < until, "no `{wanted}`");
            let api = entry.api();
            let body =
                json!({"model": "advisor", "prompt": format!("{}", calls.len()), "max_tokens": 4});
            calls.push(smol::spawn(async move {
                drop(api.post("/v1/completions", &body).await)
            }));
            pause(20).await;
            let log = std::fs::read_to_string(d.folder().join("entry-1.log")).expect("a log");
            is_shown = log.contains(&wanted);
        }
        let fleet = d.fleet(entry).await.expect("the fleet");
        let is_ejected = |agent: &&AgentView| agent.state == "ejected";
        let ejected: Vec<&AgentView> = fleet.agents.iter().filter(is_ejected).collect();
        assert_eq!(ejected.len(), 1, "{ejected:?}");
        assert_eq!(ejected[0].name, hanging.agent.name);
        let metrics = entry.api().get("/metrics").await.expect("metrics").body;
        assert!(
            metrics.contains("events_total{event=\"ejected\"} 1"),
            "{metrics}"
        );
    });
}
