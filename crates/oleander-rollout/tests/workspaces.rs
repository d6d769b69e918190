//! Keys and workspaces in a deployment of real processes: who is served, what endpoints are told,
//! and whose a batch job is.

#[path = "soak_support/keep_alive_client.rs"]
mod keep_alive_client;
mod support;

use keep_alive_client::KeepAliveClient;
use oleander_platform_standins::request::Request;
use oleander_platform_standins::stand_in_store::StandInStore;
use oleander_rollout::peer::messages::PullRequest;
use oleander_rollout::runtime;
use oleander_rollout::store::job_creation::JobCreation;
use oleander_rollout::store::job_objects::create_job;
use oleander_rollout::store::store_client::StoreClient;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::job_item::JobItem;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use support::deployment::Deployment;
use support::deployment_size::{DeploymentSize, SMALL};
use support::http::{Reply, call, send};
use support::relay::Relay;
use support::relay_mode::RelayMode;
use support::{HOST, MODEL, check_results, config, config_with_streams, job, read_text, wait_for};

const KEY_A: &str = "acme-key-7d1f";
const KEY_A_2: &str = "acme-key-90c2";
const KEY_B: &str = "bolt-key-55e8";
const KEY_C: &str = "crab-key-1c3a";
/// Size of the bodies of refused requests, in bytes: more than fits into the buffers of a socket
/// that nobody reads.
const LARGE_BODY_BYTES: usize = 900_000;

/// Returns `config` with two workspaces and a public route below `/open/`.
fn with_workspaces(mut config: Value) -> Value {
    let routes = config["routes"].as_array_mut().expect("routes");
    let mut open = routes[0].clone();
    open["name"] = json!("open");
    open["path_prefix"] = json!("/open/");
    open["public"] = json!(true);
    routes.push(open);
    config["tenants"] = json!([{"name": "acme", "api_keys": [KEY_A, KEY_A_2]},
        {"name": "bolt", "api_keys": [KEY_B]}]);
    config
}

/// Starts a deployment whose entries check keys.
fn start(size: DeploymentSize, config: Value) -> Deployment {
    let deployment = Deployment::start(size);
    require_keys(&deployment, config);
    deployment
}

fn require_keys(deployment: &Deployment, config: Value) {
    let config = with_workspaces(config);
    deployment.store.put("config", "main", &config);
    wait_for("all entries ask for keys", || {
        let mut entries = 0..deployment.entries.len();
        entries.all(|entry| {
            let reply = deployment.call(entry, "GET", "/calls/poll", &[], b"");
            reply.is_some_and(|reply| reply.status == 401)
        })
    });
}

fn token(key: &str) -> String {
    format!("Token {key}")
}

/// Calls an entry with a key.
fn call_with(
    deployment: &Deployment,
    entry: usize,
    key: &str,
    (method, path): (&str, &str),
) -> Option<Reply> {
    let token = token(key);
    let headers = [("authorization", token.as_str())];
    deployment.call(entry, method, path, &headers, b"")
}

fn status_with(deployment: &Deployment, key: &str, call: (&str, &str)) -> Option<u16> {
    call_with(deployment, 0, key, call).map(|reply| reply.status)
}

/// Submits a job with a key; returns the status.
fn submit_with(
    deployment: &Deployment,
    entry: usize,
    key: &str,
    (id, body): (&str, &Value),
) -> Option<u16> {
    let token = token(key);
    let headers = [
        ("request-id", id),
        ("deadline-ms", "3000"),
        ("authorization", token.as_str()),
    ];
    let path = format!("/rollout/{id}");
    let body = body.to_string();
    let reply = deployment.call(entry, "POST", &path, &headers, body.as_bytes());
    reply.map(|reply| reply.status)
}

/// Waits until a job has `total` results, read with a key, and returns them.
fn read_all_with(deployment: &Deployment, key: &str, job: &str, total: usize) -> Vec<Value> {
    let mut results = Vec::new();
    wait_for("all results are listed", || {
        let path = format!("/-/lots/{job}?after=0");
        let reply = call_with(deployment, 0, key, ("GET", &path));
        let Some(reply) = reply.filter(|reply| reply.status == 200) else {
            return false;
        };
        let read: Value = serde_json::from_slice(&reply.body).expect("JSON");
        results = read["results"].as_array().expect("results").clone();
        results.len() == total
    });
    results
}

/// Returns the lines of all logs of all processes.
fn logs(deployment: &mut Deployment) -> String {
    let nodes = deployment.nodes_mut();
    nodes.map(|node| node.process().log()).collect()
}

/// Returns the calls that ran at the services, except those of [`require_keys`].
fn calls_run(deployment: &Deployment) -> Vec<Request> {
    let services = deployment.services.iter();
    let ran = services.flat_map(|service| service.calls_run());
    ran.filter(|req| req.path() != "/calls/poll").collect()
}

/// Returns the number of key-refused lines of an entry about a request.
fn refusal_lines(deployment: &Deployment, entry: usize, id: &str) -> usize {
    let log = deployment.entries[entry].process().log();
    let of_request = format!("event=key-refused request={id} ");
    let lines = log.lines();
    lines.filter(|line| line.contains(&of_request)).count()
}

/// Returns the head of a request on a connection that stays open.
fn head(method: &str, path: &str, authorization: &[String], body_bytes: usize) -> String {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {body_bytes}\r\n\
         request-id: r-1\r\n"
    );
    for value in authorization {
        head.push_str(&format!("authorization: {value}\r\n"));
    }
    head.push_str("\r\n");
    head
}

/// Guards against a missing or odd `Authorization` that is served, that crashes the entry, that
/// floods the log, or that costs the client its connection.
#[test]
fn a_request_without_a_valid_key_gets_401_and_keeps_its_connection() {
    let mut deployment = start(SMALL, config(2));
    let entry = deployment.entries[0].calls;
    let long = "x".repeat(8 << 10);
    let refused: [&[String]; 10] = [
        &[],
        &["Token unknown".to_owned()],
        &["Token".to_owned()],
        &["Token  ".to_owned()],
        &[KEY_A.to_owned()],
        &[format!("Bearer {KEY_A}")],
        &[token(KEY_A), token(KEY_A)],
        &[token(KEY_A), token(KEY_B)],
        &[token(&long)],
        &[format!("Token {KEY_A}x")],
    ];
    let mut client = KeepAliveClient::new(entry);
    let body = vec![b'x'; LARGE_BODY_BYTES];
    for authorization in refused {
        let head = head("POST", "/calls/x", authorization, body.len());
        let reply = client.call(&head, &body).expect("a response");
        assert_eq!(reply.status, 401, "{authorization:?}");
        assert_eq!(reply.headers["www-authenticate"], "Token");
        assert!(!reply.headers.contains_key("connection"));
    }
    wait_for("the refusals are logged", || {
        refusal_lines(&deployment, 0, "r-1") >= refused.len()
    });
    let head = head("POST", "/calls/x", &[token(KEY_A)], 2);
    let reply = client.call(&head, b"ok").expect("a response");
    assert_eq!(reply.status, 200);
    let ran = calls_run(&deployment);
    assert_eq!(ran.len(), 1, "only the request with a key ran");
    assert_eq!(refusal_lines(&deployment, 0, "r-1"), refused.len());
    deployment
        .nodes_mut()
        .for_each(|node| node.expect_running());
}

/// Guards against an `Authorization` that is no text being served or crashing the entry.
#[test]
fn a_key_that_is_no_text_gets_401() {
    let deployment = start(SMALL, config(2));
    let mut stream = TcpStream::connect(deployment.entries[0].calls).expect("a connection");
    let head = format!("GET /calls/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Token ");
    let mut bytes = head.into_bytes();
    bytes.extend(b"\xff\xfe\r\nconnection: close\r\n\r\n");
    stream.write_all(&bytes).expect("sent");
    assert!(read_text(stream).starts_with("HTTP/1.1 401 "));
}

/// Guards against a request that is hidden in what the entry takes for a body: a client that waits
/// for permission to send its body doesn't send it after a 401.
#[test]
fn the_connection_is_closed_after_a_refusal_while_the_client_waits_to_send_its_body() {
    let deployment = start(SMALL, config(2));
    let mut stream = TcpStream::connect(deployment.entries[0].calls).expect("a connection");
    let head = format!(
        "POST /calls/x HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: 100000\r\n\
         expect: 100-continue\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let text = read_text(stream);
    assert!(text.starts_with("HTTP/1.1 401 "), "{text}");
    assert!(text.contains("connection: close"), "{text}");
}

/// Guards against a check that waits for the body: a client that sends it slowly would hold memory
/// of the entry without a key.
#[test]
fn a_request_without_a_key_is_refused_before_its_body_arrives() {
    let deployment = start(SMALL, config(2));
    let mut stream = TcpStream::connect(deployment.entries[0].calls).expect("a connection");
    let timeout = Duration::from_secs(10);
    stream.set_read_timeout(Some(timeout)).expect("a timeout");
    let head = head("POST", "/calls/x", &[], 5);
    stream.write_all(head.as_bytes()).expect("sent");
    let mut status = [0; 12];
    stream.read_exact(&mut status).expect("a response");
    assert_eq!(&status, b"HTTP/1.1 401");
}

/// Guards against the key being passed on, against a client that names a workspace itself, and
/// against a workspace on public routes.
#[test]
fn endpoints_are_told_the_workspace_and_not_the_key() {
    let deployment = start(SMALL, config_with_streams(2));
    let token = token(KEY_B);
    let headers = [
        ("authorization", token.as_str()),
        ("tenant", "acme"),
        ("x-other", "1"),
    ];
    let reply = deployment.call(0, "GET", "/calls/x", &headers, b"");
    assert_eq!(reply.map(|reply| reply.status), Some(200));
    let hop = [
        ("authorization", token.as_str()),
        ("connection", "tenant, authorization"),
    ];
    let reply = deployment.call(0, "GET", "/calls/x", &hop, b"");
    assert_eq!(reply.map(|reply| reply.status), Some(200));
    let reply = deployment.call(0, "GET", "/open/x", &headers, b"");
    assert_eq!(reply.map(|reply| reply.status), Some(200));
    let ran = calls_run(&deployment);
    assert_eq!(ran.len(), 3);
    for req in &ran {
        let told = (req.path() == "/calls/x").then_some("bolt");
        assert_eq!(req.header("tenant"), told, "{req:?}");
        assert_eq!(req.header("authorization"), None, "{req:?}");
    }
    assert!(ran.iter().any(|req| req.header("x-other") == Some("1")));
    let headers = [
        ("host", HOST),
        ("request-id", "s-1"),
        ("authorization", token.as_str()),
        ("tenant", "acme"),
    ];
    let text = read_text(deployment.open_stream_at("/talk/x", 0, 3, &headers));
    assert!(text.contains("s-1:3"), "{text}");
    let runs = deployment.engines.iter();
    let runs: Vec<_> = runs.flat_map(|engine| engine.runs()).collect();
    assert_eq!(runs.len(), 1);
    assert_eq!(
        runs[0].headers.get("tenant").map(String::as_str),
        Some("bolt")
    );
    assert!(!runs[0].headers.contains_key("authorization"));
}

/// Guards against a changed behavior of deployments that have no workspaces.
#[test]
fn without_workspaces_all_headers_are_passed_on() {
    let deployment = Deployment::start(SMALL);
    let headers = [("authorization", "Bearer own"), ("tenant", "own")];
    let reply = deployment.call(0, "GET", "/calls/x", &headers, b"");
    assert_eq!(reply.map(|reply| reply.status), Some(200));
    let ran = calls_run(&deployment);
    assert_eq!(ran[0].header("authorization"), Some("Bearer own"));
    assert_eq!(ran[0].header("tenant"), Some("own"));
    let mut body = job(1, 1, 1, 2);
    for item in body["items"].as_array_mut().expect("items") {
        item["headers"]["Authorization"] = json!("Bearer own");
        item["headers"]["Tenant"] = json!("own");
    }
    deployment.submit(0, "job-a", &body);
    check_results(&deployment.read_all(1, "job-a", 2), &body);
    let mut runs = deployment.engines.iter().flat_map(|engine| engine.runs());
    assert!(runs.all(|run| run.headers["authorization"] == "Bearer own"));
}

/// Guards against jobs that another workspace can read, end or take over, and against a 202 for an
/// id that another workspace has used.
#[test]
fn a_job_is_open_to_the_keys_of_its_workspace_only() {
    let deployment = start(SMALL, config(2));
    let intervals = deployment.engines.iter();
    intervals.for_each(|engine| engine.set_event_interval(Duration::from_secs(60)));
    let body = job(1, 1, 2, 3);
    wait_for("a job is accepted", || {
        submit_with(&deployment, 0, KEY_A, ("job-a", &body)) == Some(202)
    });
    let calls = [
        ("GET", "/-/lots/job-a?after=0"),
        ("GET", "/-/items/job-a?id=00010001"),
    ];
    for call in calls {
        for key in [KEY_A, KEY_A_2] {
            wait_for("the workspace reads its job", || {
                status_with(&deployment, key, call) == Some(200)
            });
        }
        assert_eq!(status_with(&deployment, KEY_B, call), Some(404));
        assert_eq!(status_with(&deployment, "unknown", call), Some(401));
        let reply = deployment.call(0, call.0, call.1, &[], b"");
        assert_eq!(reply.map(|reply| reply.status), Some(401));
    }
    let again = submit_with(&deployment, 1, KEY_A_2, ("job-a", &body));
    assert_eq!(again, Some(202));
    let other = submit_with(&deployment, 1, KEY_B, ("job-a", &body));
    assert_eq!(other, Some(404));
    let end = ("DELETE", "/-/lots/job-a");
    assert_eq!(status_with(&deployment, KEY_B, end), Some(404));
    assert_eq!(status_with(&deployment, "unknown", end), Some(401));
    let intervals = deployment.engines.iter();
    intervals.for_each(|engine| engine.set_event_interval(Duration::from_millis(1)));
    assert_eq!(status_with(&deployment, KEY_A, calls[1]), Some(200));
    assert_eq!(status_with(&deployment, KEY_A_2, end), Some(200));
    assert_eq!(status_with(&deployment, KEY_A, end), Some(200));
    assert_eq!(status_with(&deployment, KEY_B, end), Some(404));
    assert_eq!(status_with(&deployment, KEY_B, calls[0]), Some(404));
}

/// Guards against a leader that learns the owner of a job only from its own memory: the owner must
/// be known after the leader is replaced, also for a job that has ended.
#[test]
fn the_owner_of_a_job_is_known_to_the_next_leader() {
    let mut deployment = start(SMALL, config(2));
    let body = job(1, 1, 1, 2);
    for id in ["job-a", "job-b"] {
        wait_for("a job is accepted", || {
            submit_with(&deployment, 0, KEY_A, (id, &body)) == Some(202)
        });
    }
    read_all_with(&deployment, KEY_A, "job-a", 2);
    wait_for("the job is ended", || {
        status_with(&deployment, KEY_A, ("DELETE", "/-/lots/job-b")) == Some(200)
    });
    let leader = deployment.leader().expect("a leader");
    deployment.dispatchers[leader].kill();
    check_results(&read_all_with(&deployment, KEY_A_2, "job-a", 2), &body);
    for path in ["/-/lots/job-a?after=0", "/-/lots/job-b?after=0"] {
        assert_eq!(status_with(&deployment, KEY_B, ("GET", path)), Some(404));
    }
    assert_eq!(
        status_with(&deployment, KEY_B, ("DELETE", "/-/lots/job-b")),
        Some(404)
    );
}

/// Guards against a submission through the leader that loses the owner or takes over an id.
#[test]
fn a_job_submitted_through_the_leader_belongs_to_its_workspace() {
    let mut deployment = start(SMALL, config(2));
    let relay = Relay::spawn(deployment.store.addr());
    deployment.entries[0].kill();
    deployment.entries[0].store = relay.addr();
    deployment.entries[0].start();
    let ready = deployment.entries[0].ready;
    wait_for("the entry is ready", || {
        call(ready, "GET", "/-/ready", &[], b"").is_some_and(|reply| reply.status == 200)
    });
    let body = job(1, 1, 1, 2);
    wait_for("a job is accepted", || {
        submit_with(&deployment, 1, KEY_B, ("job-b", &body)) == Some(202)
    });
    relay.set(RelayMode::Refuse);
    relay.reset();
    wait_for("a job is accepted through the leader", || {
        submit_with(&deployment, 0, KEY_A, ("job-a", &body)) == Some(202)
    });
    wait_for("the leader logs the job", || {
        logs(&mut deployment).contains("event=job-relayed request=job-a")
    });
    // A connection that the relay resets may have carried the call, which is a truthful 502.
    let settled = |key: &str, job: &str| {
        let mut status = None;
        wait_for("the submission is answered for certain", || {
            status = submit_with(&deployment, 0, key, (job, &body));
            status != Some(502)
        });
        status
    };
    assert_eq!(settled(KEY_A_2, "job-a"), Some(202));
    assert_eq!(settled(KEY_A, "job-b"), Some(404));
    check_results(&read_all_with(&deployment, KEY_A_2, "job-a", 2), &body);
    let read = ("GET", "/-/lots/job-a?after=0");
    assert_eq!(status_with(&deployment, KEY_B, read), Some(404));
    assert_eq!(
        status_with(&deployment, KEY_A, ("GET", "/-/lots/job-b?after=0")),
        Some(404)
    );
}

/// Guards against jobs of earlier builds, or submitted on public routes, that nobody can read.
#[test]
fn a_job_submitted_without_a_key_stays_readable() {
    let deployment = Deployment::start(SMALL);
    let body = job(1, 1, 1, 2);
    deployment.submit(0, "job-a", &body);
    require_keys(&deployment, config(2));
    for key in [KEY_A, KEY_B] {
        check_results(&read_all_with(&deployment, key, "job-a", 2), &body);
    }
    let again = submit_with(&deployment, 0, KEY_B, ("job-a", &body));
    assert_eq!(again, Some(202));
}

/// Guards against a workspace name that the trainer sets for an item, against keys that reach
/// engines or scoring services, and against keys in stored jobs and logs.
#[test]
fn items_run_with_the_workspace_and_no_key_is_kept() {
    let mut deployment = start(SMALL, config(2));
    let mut body = job(1, 1, 2, 2);
    for item in body["items"].as_array_mut().expect("items") {
        item["headers"]["AUTHORIZATION"] = json!(token(KEY_A));
        item["headers"]["tenant"] = json!("bolt");
    }
    wait_for("a job is accepted", || {
        submit_with(&deployment, 0, KEY_A, ("job-a", &body)) == Some(202)
    });
    check_results(&read_all_with(&deployment, KEY_A, "job-a", 4), &body);
    let runs = deployment.engines.iter();
    let runs: Vec<_> = runs.flat_map(|engine| engine.runs()).collect();
    assert_eq!(runs.len(), 4);
    for run in &runs {
        assert_eq!(run.headers["tenant"], "acme");
        assert_eq!(run.headers["model"], MODEL);
        assert!(!run.headers.contains_key("authorization"));
    }
    let scored = calls_run(&deployment);
    let scored = scored.iter().filter(|req| req.path() == "/calls/score");
    let scored: Vec<_> = scored.collect();
    assert!(scored.len() >= 4);
    for req in scored {
        assert_eq!(req.header("tenant"), None);
        assert_eq!(req.header("authorization"), None);
    }
    let stored = json!(deployment.store.specs("jobs")).to_string();
    assert!(stored.contains(r#""workspace":"acme""#));
    assert_holds_no_key(&stored);
    let log = logs(&mut deployment);
    assert_holds_no_key(&log);
    let counted = deployment.entries[0].metrics;
    wait_for("the requests of the workspace are counted", || {
        let page = call(counted, "GET", "/metrics", &[], b"").expect("a page");
        let page = String::from_utf8_lossy(&page.body).into_owned();
        page.contains(r#"oleanderlock_workspace_requests_total{workspace="acme"}"#)
    });
    let nodes = deployment.nodes_mut();
    let metrics = nodes.filter_map(|node| call(node.metrics, "GET", "/metrics", &[], b""));
    for reply in metrics {
        assert_holds_no_key(&String::from_utf8_lossy(&reply.body));
    }
}

fn assert_holds_no_key(text: &str) {
    for key in [KEY_A, KEY_A_2, KEY_B] {
        assert!(!text.contains(key), "{key} is in {text}");
    }
}

/// Guards against a leader that sends keys to entries, or digests to agents, which check none.
#[test]
fn the_leader_sends_digests_to_entries_and_no_keys_to_agents() {
    let deployment = start(SMALL, config(2));
    let leader = deployment.leader().expect("a leader");
    let peers = deployment.dispatchers[leader].peers;
    let ask = |path: &str, body: &Value| {
        let stream = send(
            peers,
            "POST",
            path,
            &[("host", "d")],
            body.to_string().as_bytes(),
        );
        read_text(stream.expect("a connection"))
    };
    let known = json!({"config_version": 0, "endpoints_digest": 0, "node": "entry-9"});
    let told = ask("/news", &known);
    let digest = oleanderlock::workspaces::key_digest::KeyDigest::of(KEY_A.as_bytes());
    let digest = serde_json::to_string(&digest).expect("JSON");
    assert!(told.contains(&digest), "{told}");
    assert_holds_no_key(&told);
    let report = PullRequest {
        report: AgentReport {
            agent: "agent-9".to_owned(),
            ..AgentReport::default()
        },
        ..PullRequest::default()
    };
    let report = serde_json::to_value(report).expect("JSON");
    let told = ask("/report", &report);
    assert!(told.contains(r#""name":"acme""#), "{told}");
    assert!(!told.contains(&digest), "{told}");
    assert_holds_no_key(&told);
}

/// Guards against a job that is put together from the parts of another workspace: parts are
/// written before the job, so an unfinished submission leaves parts under an id.
#[test]
fn parts_of_another_job_are_not_taken_over() {
    let store = StandInStore::spawn();
    let item = |id: &str| JobItem {
        id: id.to_owned(),
        path: "/rollout/i".to_owned(),
        headers: Vec::new(),
        body_base64: String::new(),
        tokens: 1,
        expected_tokens: None,
        group: id.to_owned(),
        score_call: None,
    };
    let job = |workspace: &str, items: &[&str]| Job {
        id: "j".to_owned(),
        host: HOST.to_owned(),
        path: "/rollout/j".to_owned(),
        submitted_unix_ms: 1,
        step: None,
        model: MODEL.to_owned(),
        oldest_version: 0,
        groups_wanted: 1,
        items: items.iter().map(|id| item(id)).collect(),
        workspace: Some(workspace.to_owned()),
    };
    store.put("job-parts", "j.0", &json!([item("foreign")]));
    runtime::run(async {
        let client = StoreClient::new(store.addr(), Default::default());
        let create = |job: Job| create_job(&client, job, 1, true);
        let taken = create(job("acme", &["a", "b"])).await;
        assert_eq!(taken, Ok(JobCreation::Foreign));
        assert_eq!(store.get("jobs", "j"), None);
        let own = create(job("bolt", &["a", "foreign"])).await;
        assert_eq!(own, Ok(JobCreation::Created));
        let again = create(job("bolt", &["a", "foreign"])).await;
        assert_eq!(again, Ok(JobCreation::Existing));
        let taken = create(job("acme", &["a", "foreign"])).await;
        assert_eq!(taken, Ok(JobCreation::Foreign));
    });
}

/// Guards against engines that are not told the priority of a workspace, are told it for workspaces
/// that have none or for calls that don't run at engines, or are told one that they don't know.
#[test]
fn engines_are_told_the_priority_of_a_workspace_that_has_one() {
    let deployment = Deployment::start(SMALL);
    let mut config = config_with_streams(2);
    config["tenants"] = json!([{"name": "acme", "api_keys": [KEY_A], "prio": 1},
        {"name": "bolt", "api_keys": [KEY_B]}, {"name": "crab", "api_keys": [KEY_C], "prio": 12}]);
    deployment.store.put("config", "main", &config);
    wait_for("keys are known", || {
        let entry = |entry| call_with(&deployment, entry, KEY_C, ("GET", "/calls/poll"));
        let served = |reply: Reply| reply.status == 200;
        let knows =
            |one| entry(one).is_some_and(served) && is_refused_without_key(&deployment, one);
        (0..2).all(knows)
    });
    for (n, (key, told)) in [(KEY_A, Some("1")), (KEY_B, None), (KEY_C, Some("9"))]
        .into_iter()
        .enumerate()
    {
        let step = 1 + n as u64;
        let body = job(step, 1, 1, 2);
        let id = format!("job-{n}");
        wait_for("a job is accepted", || {
            submit_with(&deployment, 0, key, (&id, &body)) == Some(202)
        });
        check_results(&read_all_with(&deployment, key, &id, 2), &body);
        let token = token(key);
        let stream = format!("stream-{n}");
        let headers = [
            ("host", HOST),
            ("request-id", stream.as_str()),
            ("authorization", token.as_str()),
        ];
        let text = read_text(deployment.open_stream_at("/talk/x", 0, 2, &headers));
        assert!(text.contains(&format!("{stream}:2")), "{text}");
        let runs = deployment.engines.iter().flat_map(|engine| engine.runs());
        let item = format!("{step:04x}");
        let runs = runs.filter(|run| run.id == stream || run.id.starts_with(&item));
        let runs: Vec<_> = runs.collect();
        assert_eq!(runs.len(), 3);
        for run in runs {
            let priority = run.headers.get("req-priority").map(String::as_str);
            assert_eq!(priority, told, "{run:?}");
        }
    }
    for req in calls_run(&deployment) {
        assert_eq!(req.header("req-priority"), None, "{req:?}");
    }
}

fn is_refused_without_key(deployment: &Deployment, entry: usize) -> bool {
    let reply = deployment.call(entry, "GET", "/calls/poll", &[], b"");
    reply.is_some_and(|reply| reply.status == 401)
}
