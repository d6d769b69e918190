//! Entries of another writer among those of the endpoints.

mod support;

use oleander_platform_standins::call_behavior::CallBehavior;
use oleander_platform_standins::engine_faults::EngineFaults;
use serde_json::{Value, json};
use std::thread;
use std::time::Duration;
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::{check_results, job, wait_for};

const SIZE: DeploymentSize = DeploymentSize {
    entries: 1,
    engines: 1,
    dispatchers: 1,
    services: 2,
};
/// Names of further entries: more than a page of a list holds, so that pages end with them.
const ODD_NAMES: usize = 120;
/// Time within which an endpoint that leaves must get no more requests: the default of
/// `bounds.leave_within`.
const LEAVE_WITHIN: Duration = Duration::from_secs(2);

/// Returns the specs of odd entries; `addr` is that of an endpoint.
fn odd_specs(addr: &str) -> Vec<String> {
    let nested = |depth: usize| format!("{}0{}", "[".repeat(depth), "]".repeat(depth));
    let with = |key: &str, value: &str| {
        let mut entry = json!({"service": "llm", "addr": addr, "zone": "z", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "seq": 1, "born": 2});
        entry[key] = json!("@");
        entry.to_string().replace("\"@\"", value)
    };
    vec![
        nested(100_000),
        format!("{}1{}", "{\"a\":".repeat(100_000), "}".repeat(100_000)),
        with("state", &nested(100_000)),
        with("slots", &"9".repeat(400)),
        with("cold_left_ms", "1e400"),
        with("born", "18446744073709551615"),
        with("born", "1e30"),
        with("addr", "\"127.0.0.1:99999\""),
        with("addr", "\"127.0.0.1:0\""),
        with("state", "\"a\u{1}b\""),
        with("service", r#""\ud800\x""#),
        "null".to_owned(),
    ]
}

/// Returns entries that another writer puts at the address of an engine whose start is 1, by case.
fn entries_at(addr: &str) -> Vec<(&'static str, Value)> {
    let entry = |service: &str, started: Option<u64>| {
        let mut entry = json!({"service": service, "addr": addr, "zone": "z", "version": "v1",
            "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1});
        if let Some(started) = started {
            entry["born"] = json!(started);
        }
        entry
    };
    let mut draining = entry("kiosk", None);
    draining["state"] = json!("draining");
    vec![
        ("unknown service, later start", entry("kiosk", Some(1000))),
        ("unknown service, no start", entry("kiosk", None)),
        ("unknown service, draining", draining),
        ("other service, later start", entry("desk", Some(1000))),
        ("other service, no start", entry("desk", None)),
        ("same service, later start", entry("llm", Some(1000))),
        ("same service, same start", entry("llm", Some(1))),
        ("same service, no start", entry("llm", None)),
    ]
}

fn put_odd_entries(deployment: &Deployment) {
    let addr = deployment.engines[0].addr().to_string();
    for (n, spec) in odd_specs(&addr).iter().enumerate() {
        deployment
            .store
            .put_raw("servers", &format!("odd-{n}"), spec);
    }
    for n in 0..ODD_NAMES {
        let name = format!("a b%2f&after=z?#{n:03}\u{e9}");
        deployment.store.put("servers", &name, &json!("odd"));
    }
}

fn call(deployment: &Deployment) -> bool {
    let headers = [("request-id", "r"), ("deadline-ms", "1400")];
    let reply = deployment.call(0, "POST", "/calls/x", &headers, b"body");
    reply.is_some_and(|reply| reply.status == 200)
}

/// Checks that changes of the list are followed: service 0 leaves and comes back.
fn assert_list_is_followed(deployment: &Deployment) {
    let entry = deployment.services[0].entry("desk");
    let mut leaving = entry.clone();
    leaving["state"] = json!("draining");
    deployment.store.put("servers", "desk-0", &leaving);
    thread::sleep(LEAVE_WITHIN);
    let before = deployment.services[0].calls_run().len();
    for _ in 0..20 {
        assert!(call(deployment));
    }
    assert_eq!(deployment.services[0].calls_run().len(), before);
    deployment.store.put("servers", "desk-0", &entry);
    deployment.services[1].set_default_behavior(CallBehavior::Refuse);
    wait_for("the endpoint is used again", || {
        call(deployment) && deployment.services[0].calls_run().len() > before
    });
    deployment.services[1].set_default_behavior(CallBehavior::Answer);
}

fn assert_jobs_are_run(deployment: &Deployment, id: &str, step: u64) {
    let body = job(step, 1, 3, 5);
    deployment.submit(0, id, &body);
    check_results(&deployment.read_all(0, id, 6), &body);
}

#[test]
fn odd_entries_neither_end_processes_nor_keep_them_from_following_the_list() {
    let mut deployment = Deployment::start(SIZE);
    put_odd_entries(&deployment);
    assert_list_is_followed(&deployment);
    assert_jobs_are_run(&deployment, "job-a", 1);
    // A removed entry is read again to confirm that.
    deployment.store.remove("servers", "odd-0");
    for node in deployment.nodes_mut() {
        node.expect_running();
        node.kill();
        node.start();
    }
    wait_for("the entry serves calls", || call(&deployment));
    assert_jobs_are_run(&deployment, "job-b", 2);
    assert_list_is_followed(&deployment);
    deployment
        .nodes_mut()
        .for_each(support::node::Node::expect_running);
}

/// Checks that entries of another writer at the address of an engine neither end runs nor keep items
/// from it, also after a restart of its agent.
fn check_entries_at_an_engine(names_start: bool) {
    let mut deployment = Deployment::start(SIZE);
    let engine = deployment.engines[0].clone();
    if !names_start {
        engine.hide_start();
        let entry = engine.entry("llm");
        deployment.store.put("servers", &engine.instance(), &entry);
    }
    let cases = entries_at(&engine.addr().to_string());
    for (n, (case, entry)) in cases.iter().enumerate() {
        let before = engine.runs().len();
        let body = job(n as u64, 1, 12, 60);
        let id = format!("job-{n}");
        deployment.submit(0, &id, &body);
        wait_for("items run", || engine.runs().len() >= before + 8);
        deployment.store.put("servers", "foreign", entry);
        check_results(&deployment.read_all(0, &id, 24), &body);
        assert_eq!(engine.runs().len(), before + 24, "{case}: runs that ended");
        for _ in 0..10 {
            assert!(call(&deployment), "{case}");
        }
        let agent = &mut deployment.agents[0];
        agent.kill();
        agent.start();
        assert_jobs_are_run(&deployment, &format!("after-{n}"), 100 + n as u64);
        deployment.store.remove("servers", "foreign");
    }
}

#[test]
fn entries_of_another_writer_at_an_engines_address_stop_no_items() {
    check_entries_at_an_engine(true);
}

#[test]
fn entries_of_another_writer_stop_no_items_where_no_starts_are_named() {
    check_entries_at_an_engine(false);
}

#[test]
fn a_late_copy_of_the_refusal_of_another_entry_does_not_refuse_the_engines_own() {
    let deployment = Deployment::start(SIZE);
    let engine = &deployment.engines[0];
    engine.hide_start();
    let entry = engine.entry("llm");
    deployment.store.put("servers", &engine.instance(), &entry);
    engine.set_faults(EngineFaults {
        late_copies: true,
        ..EngineFaults::default()
    });
    for n in 0..5 {
        // The own entry is draining, so that the engine is asked about the other one.
        let mut draining = entry.clone();
        draining["state"] = json!("draining");
        let instance = engine.instance();
        deployment.store.put("servers", &instance, &draining);
        let foreign = format!("foreign-{n}");
        deployment.store.put("servers", &foreign, &entry);
        wait_for("the foreign entry is refused", || {
            let log = deployment.agents[0].process().log();
            log.contains(&format!("event=entry-refused instance={foreign} "))
        });
        deployment.store.put("servers", &instance, &entry);
        let id = format!("job-{n}");
        let body = job(n, 1, 3, 5);
        deployment.submit(0, &id, &body);
        check_results(&deployment.read_all(0, &id, 6), &body);
        deployment.store.remove("servers", &foreign);
    }
    let log = deployment.agents[0].process().log();
    assert!(!log.contains("event=entry-refused instance=engine-0"));
}
