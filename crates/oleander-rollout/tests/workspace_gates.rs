//! Calls of workspaces to a service that is full, in a deployment of real processes.

mod support;

use oleander_platform_standins::call_behavior::CallBehavior;
use serde_json::json;
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::http::Reply;
use support::{HOST, config, config_with_streams, read_text, wait_for};

const KEY: &str = "acme-key-7d1f";

/// Starts one entry and one endpoint, with or without workspaces.
fn start(with_workspaces: bool) -> Deployment {
    let deployment = Deployment::start(DeploymentSize {
        entries: 1,
        engines: 0,
        dispatchers: 1,
        services: 1,
    });
    if with_workspaces {
        let mut config = config(2);
        config["tenants"] = json!([{"name": "acme", "api_keys": [KEY]}]);
        deployment.store.put("config", "main", &config);
    }
    let expected = if with_workspaces { 401 } else { 200 };
    wait_for("the entry has the configuration", || {
        let reply = deployment.call(0, "GET", "/calls/poll", &[], b"");
        reply.is_some_and(|reply| reply.status == expected)
    });
    deployment
}

fn call(deployment: &Deployment, id: &str) -> Reply {
    let token = format!("Token {KEY}");
    let headers = [
        ("request-id", id),
        ("deadline-ms", "1400"),
        ("authorization", token.as_str()),
    ];
    let reply = deployment.call(0, "POST", "/calls/x", &headers, b"");
    reply.expect("a response")
}

/// Guards against calls that are refused although a slot becomes free in time.
#[test]
fn a_call_of_a_workspace_waits_for_a_slot() {
    let deployment = start(true);
    let service = &deployment.services[0];
    service.set_next_behaviors(&[CallBehavior::Refuse; 5]);
    assert_eq!(call(&deployment, "call-a").status, 200);
    assert_eq!(service.calls_refused().len(), 5);
    assert_eq!(call(&deployment, "call-b").status, 200);
}

/// Guards against calls that wait beyond their deadline, and against those that are sent again and
/// again meanwhile.
#[test]
fn a_call_of_a_workspace_is_refused_by_its_deadline() {
    let deployment = start(true);
    let service = &deployment.services[0];
    service.set_default_behavior(CallBehavior::Refuse);
    let reply = call(&deployment, "call-a");
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    // At most one every 20 ms.
    let refused = service.calls_refused().len();
    assert!((2..=75).contains(&refused), "sent {refused} times");
}

/// Guards against streams of a workspace that the gate holds back or cuts although nothing is full.
#[test]
fn streams_of_a_workspace_pass_while_nothing_is_full() {
    let deployment = Deployment::start_with_streams(1, 1);
    let mut config = config_with_streams(3);
    config["tenants"] = json!([{"name": "acme", "api_keys": [KEY]}]);
    deployment.store.put("config", "main", &config);
    wait_for("the entry has the configuration", || {
        let reply = deployment.call(0, "GET", "/calls/poll", &[], b"");
        reply.is_some_and(|reply| reply.status == 401)
    });
    let token = format!("Token {KEY}");
    for n in 0..20 {
        let id = format!("stream-{n}");
        let headers = [
            ("host", HOST),
            ("request-id", id.as_str()),
            ("deadline-ms", "4000"),
            ("authorization", token.as_str()),
        ];
        let text = read_text(deployment.open_stream_at("/talk/x", 0, 2, &headers));
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        assert!(text.contains(&format!("{id}:2")), "{text}");
    }
}

/// Guards against calls that wait in a deployment without workspaces.
#[test]
fn a_call_is_refused_at_once_without_workspaces() {
    let deployment = start(false);
    let service = &deployment.services[0];
    service.set_next_behaviors(&[CallBehavior::Refuse]);
    assert_eq!(call(&deployment, "call-a").status, 503);
    assert_eq!(service.calls_refused().len(), 1);
}
