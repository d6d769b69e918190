//! CPU time of an entry for each request, with and without keys.
//!
//! `cargo test --release -p oleander-rollout --test key_cost -- --ignored --nocapture`

#[path = "soak_support/keep_alive_client.rs"]
mod keep_alive_client;
mod support;

use keep_alive_client::KeepAliveClient;
use serde_json::json;
use std::thread;
use std::time::Duration;
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::{HOST, config, wait_for};

/// Keys in the configuration.
const KEYS: usize = 10_000;
/// Requests of one measurement.
const REQUESTS: u64 = 10_000;
/// Measurements with keys, and as many without.
const ROUNDS: u64 = 4;
/// Time after a new configuration until nothing of the entry's CPU time belongs to it.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// CPU time of a clock tick, in microseconds.
const TICK_US: u64 = 10_000;

/// Prints the CPU time of an entry for each request. It is compared within one build, so that it
/// shows the cost of the check and not that of other changes.
#[test]
#[ignore = "a measurement, which needs a machine that does nothing else"]
fn cpu_time_of_an_entry_with_and_without_keys() {
    let deployment = Deployment::start(DeploymentSize {
        entries: 1,
        engines: 1,
        dispatchers: 1,
        services: 1,
    });
    let key = |number: usize| format!("key-{number:032x}");
    let keys: Vec<String> = (0..KEYS).map(key).collect();
    let tenants = json!([{"name": "acme", "api_keys": keys}]);
    let (mut with, mut without) = (0, 0);
    for round in 0..ROUNDS {
        let mut open = config(2 + round * 2);
        deployment.store.put("config", "main", &open);
        without += measure(&deployment, Some(200));
        open["version"] = json!(3 + round * 2);
        open["tenants"] = tenants.clone();
        deployment.store.put("config", "main", &open);
        with += measure(&deployment, Some(401));
    }
    let requests = ROUNDS * REQUESTS;
    for (name, ticks) in [("without", without), ("with", with)] {
        let us = (ticks * TICK_US) as f64 / requests as f64;
        println!("cost what=entry-cpu keys={name} value={us:.1} unit=us requests={requests}");
    }
}

/// Returns the CPU ticks of the entry for [`REQUESTS`] requests with a valid key, once a request
/// without one gets `status`.
fn measure(deployment: &Deployment, status: Option<u16>) -> u64 {
    wait_for("the configuration is in force", || {
        let reply = deployment.call(0, "GET", "/calls/x", &[], b"");
        reply.map(|reply| reply.status) == status
    });
    // The new configuration comes from the store and from the leader, and is decoded each time.
    thread::sleep(SETTLE_TIME);
    let entry = &deployment.entries[0];
    let mut client = KeepAliveClient::new(entry.calls);
    let before = entry.process().cpu_ticks();
    for number in 0..REQUESTS as usize {
        let key = number * 7919 % KEYS;
        let head = format!(
            "GET /calls/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Token key-{key:032x}\r\n\r\n"
        );
        let reply = client.call(&head, b"").expect("a response");
        assert_eq!(reply.status, 200);
    }
    entry.process().cpu_ticks() - before
}
