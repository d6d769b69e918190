//! Keys that are added and removed while the store refuses instances or connections to it have gone
//! silent.

mod support;

use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::http::call;
use support::node::Node;
use support::relay::Relay;
use support::relay_mode::RelayMode;
use support::{HOST, config_with_streams, wait_for};

/// Time within which a change of the configuration is in force.
const CONFIG_WITHIN: Duration = Duration::from_secs(3);
/// Instances of a kind; a third of them is one.
const SIZE: DeploymentSize = DeploymentSize {
    entries: 3,
    engines: 1,
    dispatchers: 3,
    services: 1,
};

fn config(version: u64, keys: &[&str]) -> Value {
    let mut config = config_with_streams(version);
    config["tenants"] = json!([{"name": "acme", "api_keys": keys}]);
    config
}

/// A deployment in which each entry and dispatcher reaches the store through a relay of its own.
struct Relayed {
    deployment: Deployment,
    entries: Vec<Relay>,
    dispatchers: Vec<Relay>,
    /// Relays to the dispatchers, for all other processes.
    peers: Vec<Relay>,
}

impl Relayed {
    /// Starts it with `keys` and `more` lines of settings of the entries.
    fn start(size: DeploymentSize, keys: &[&str], more: &str) -> Self {
        let mut deployment = Deployment::start(size);
        deployment.store.put("config", "main", &config(2, keys));
        let store = deployment.store.addr();
        let relay = |node: &mut Node, more: &str| {
            let relay = Relay::spawn(store);
            node.store = relay.addr();
            node.kill();
            node.start_with(more);
            relay
        };
        let entries = deployment.entries.iter_mut();
        let entries = entries.map(|node| relay(node, more)).collect();
        let mut peers = Vec::new();
        for node in &mut deployment.dispatchers {
            let relay = Relay::spawn(node.peers);
            node.advertised = relay.addr();
            peers.push(relay);
        }
        let dispatchers = deployment.dispatchers.iter_mut();
        let dispatchers = dispatchers.map(|node| relay(node, "")).collect();
        let relayed = Self {
            deployment,
            entries,
            dispatchers,
            peers,
        };
        wait_for("a dispatcher leads", || {
            relayed.deployment.leader().is_some()
        });
        for entry in 0..size.entries {
            wait_for("a valid key is served", || {
                relayed.status(entry, keys[0]) == Some(200)
            });
            wait_for("the configuration is confirmed", || {
                relayed.status(entry, "unknown") == Some(401)
            });
            // One that the store refuses before asks nobody.
            wait_for("the entry knows all dispatchers", || {
                relayed.knows_dispatchers(entry, size.dispatchers)
            });
        }
        relayed
    }

    /// Whether this number of dispatchers is registered, as far as an entry knows.
    fn knows_dispatchers(&self, entry: usize, number: usize) -> bool {
        let log = self.deployment.entries[entry].process().log();
        let known = log
            .lines()
            .rfind(|line| line.contains("event=dispatchers-known"));
        known.is_some_and(|line| line.ends_with(&format!(" registered={number}")))
    }

    fn status(&self, entry: usize, key: &str) -> Option<u16> {
        let token = format!("Token {key}");
        let headers = [("authorization", token.as_str())];
        let reply = self
            .deployment
            .call(entry, "GET", "/calls/x", &headers, b"");
        reply.map(|reply| reply.status)
    }

    /// Replaces the keys, and fails the test if an entry doesn't know it in time.
    fn change_keys(&self, version: u64, removed: &str, added: &str) {
        let config = config(version, &[added]);
        self.deployment.store.put("config", "main", &config);
        let changed_at = Instant::now();
        let deadline = changed_at + CONFIG_WITHIN;
        let mut open: Vec<usize> = (0..self.deployment.entries.len()).collect();
        while !open.is_empty() {
            let asked_at = Instant::now();
            open.retain(|entry| {
                let is_old = self.status(*entry, removed) != Some(401);
                is_old || self.status(*entry, added) != Some(200)
            });
            assert!(
                open.is_empty() || asked_at < deadline,
                "entries {open:?} don't know the keys of version {version}"
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Makes the store refuse one entry and the leader from now on.
    fn refuse_entry_and_leader(&self) -> usize {
        let leader = self.deployment.leader().expect("a leader");
        for relay in [&self.entries[0], &self.dispatchers[leader]] {
            relay.set(RelayMode::Refuse);
            relay.reset();
        }
        leader
    }
}

/// Guards against a change that only the next list of a watch brings.
#[test]
fn keys_are_changed_in_time_on_a_calm_day() {
    let relayed = Relayed::start(SIZE, &["k1"], "");
    relayed.change_keys(3, "k1", "k2");
    relayed.change_keys(4, "k2", "k3");
}

/// Guards against an entry that keeps removed keys because neither it nor the leader reaches the
/// store: the standby dispatchers must be asked.
#[test]
fn keys_are_changed_in_time_while_the_store_refuses_an_entry_and_the_leader() {
    let relayed = Relayed::start(SIZE, &["k1"], "");
    relayed.refuse_entry_and_leader();
    relayed.change_keys(3, "k1", "k2");
    relayed.change_keys(4, "k2", "k3");
}

/// Guards against an entry that only asks the leader: one that the store refuses may be cut off from
/// the leader too, while the leader works and is not replaced.
#[test]
fn keys_are_changed_in_time_for_an_entry_without_the_store_and_the_leader() {
    let relayed = Relayed::start(SIZE, &["k1"], "");
    let leader = relayed.deployment.leader().expect("a leader");
    for relay in [&relayed.entries[0], &relayed.peers[leader]] {
        relay.set(RelayMode::Refuse);
        relay.reset();
    }
    relayed.change_keys(3, "k1", "k2");
    relayed.change_keys(4, "k2", "k3");
}

/// Guards against calls to the store that hang instead of failing: the timeouts of watches are
/// longer than a change may take.
#[test]
fn keys_are_changed_in_time_while_the_store_hangs_for_an_entry_and_the_leader() {
    let relayed = Relayed::start(SIZE, &["k1"], "");
    let leader = relayed.deployment.leader().expect("a leader");
    for relay in [&relayed.entries[0], &relayed.dispatchers[leader]] {
        relay.set(RelayMode::Cut {
            to_target: true,
            from_target: true,
        });
    }
    relayed.change_keys(3, "k1", "k2");
    relayed.change_keys(4, "k2", "k3");
}

/// Guards against trust in a watch whose connection has gone silent: new calls succeed, so the
/// leader seems to be up to date.
#[test]
fn silent_connections_to_the_store_delay_no_change_of_keys() {
    let relayed = Relayed::start(SIZE, &["k1"], "");
    let relays = relayed.entries.iter().chain(&relayed.dispatchers);
    relays.for_each(Relay::silence);
    relayed.change_keys(3, "k1", "k2");
}

/// Guards against an entry that depends on a leader: there is none until the next election.
#[test]
fn keys_are_changed_in_time_without_a_leader() {
    let mut relayed = Relayed::start(SIZE, &["k1"], "");
    relayed.entries[0].set(RelayMode::Refuse);
    relayed.entries[0].reset();
    let leader = relayed.deployment.leader().expect("a leader");
    relayed.deployment.dispatchers[leader].kill();
    relayed.change_keys(3, "k1", "k2");
}

/// Guards against a 401 for a key that may have been added while nobody can ask the store, and
/// against an outage of the store that becomes one for the callers.
#[test]
fn without_strict_known_keys_are_served_while_the_store_is_away() {
    let relayed = Relayed::start(SIZE, &["k1"], "");
    cut_all(&relayed);
    wait_for("an unknown key is refused as not certain", || {
        relayed.status(0, "k2") == Some(503)
    });
    assert_eq!(relayed.status(0, "k1"), Some(200));
    restore_all(&relayed);
    wait_for("an unknown key is unknown again", || {
        relayed.status(0, "k2") == Some(401)
    });
}

/// Guards against removed keys that are served for the whole outage although the deployment asks
/// for `strict`.
#[test]
fn with_strict_no_key_is_served_while_the_configuration_is_not_confirmed() {
    let settings = "[keys]\nstrict = true\nconfirm_within = 4s\n";
    let relayed = Relayed::start(SIZE, &["k1"], settings);
    cut_all(&relayed);
    wait_for("known keys are refused", || {
        relayed.status(0, "k1") == Some(503)
    });
    let token = "Token k1";
    let headers = [("authorization", token)];
    let reply = relayed.deployment.call(0, "GET", "/calls/x", &headers, b"");
    assert!(
        reply
            .expect("a response")
            .headers
            .contains_key("retry-after")
    );
    let reply = relayed.deployment.call(0, "GET", "/calls/x", &[], b"");
    assert_eq!(reply.map(|reply| reply.status), Some(401));
    restore_all(&relayed);
    wait_for("known keys are served again", || {
        relayed.status(0, "k1") == Some(200)
    });
}

fn cut_all(relayed: &Relayed) {
    for relay in relayed.entries.iter().chain(&relayed.dispatchers) {
        relay.set(RelayMode::Refuse);
        relay.reset();
    }
}

fn restore_all(relayed: &Relayed) {
    let relays = relayed.entries.iter().chain(&relayed.dispatchers);
    relays.for_each(|relay| relay.set(RelayMode::Pass));
}

/// Guards against an entry that serves anyone, or answers 401, before it knows any keys.
#[test]
fn an_entry_without_a_configuration_answers_503() {
    let mut relayed = Relayed::start(SIZE, &["k1"], "");
    relayed.entries[0].set(RelayMode::Refuse);
    let entry = &mut relayed.deployment.entries[0];
    entry.kill();
    entry.start();
    let calls = entry.calls;
    let headers = [("host", HOST), ("authorization", "Token k1")];
    let mut statuses = Vec::new();
    wait_for("the entry answers", || {
        let reply = call(calls, "GET", "/calls/x", &headers, b"");
        statuses.extend(reply.map(|reply| reply.status));
        !statuses.is_empty()
    });
    assert_eq!(statuses, [503]);
}

/// Guards against a removed key that ends requests in progress, goes on to be served on open
/// connections, or costs the client its connection.
#[test]
fn a_request_in_progress_outlives_its_key_and_the_next_one_is_refused() {
    let relayed = Relayed::start(SIZE, &["k1"], "");
    let addr = relayed.deployment.entries[0].calls;
    let mut stream = TcpStream::connect(addr).expect("a connection");
    let timeout = Duration::from_secs(10);
    stream.set_read_timeout(Some(timeout)).expect("a timeout");
    let request = |path: &str, key: &str, body: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: r-1\r\nauthorization: Token {key}\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let sent = stream.write_all(request("/talk/x", "k1", "200").as_bytes());
    sent.expect("sent");
    let started = read_until(&mut stream, "r-1:1\n");
    assert!(started.starts_with("HTTP/1.1 200 "), "{started}");
    relayed.change_keys(3, "k1", "k2");
    let rest = read_until(&mut stream, "\r\n0\r\n\r\n");
    assert!(rest.contains("r-1:200\n"), "{rest}");
    let mut next = |key: &str| {
        let sent = stream.write_all(request("/calls/x", key, "").as_bytes());
        sent.expect("sent");
        read_until(&mut stream, "\r\n\r\n")
    };
    let refused = next("k1");
    assert!(refused.starts_with("HTTP/1.1 401 "), "{refused}");
    let served = next("k2");
    assert!(served.starts_with("HTTP/1.1 200 "), "{served}");
}

/// Reads until the text ends with `end`, and returns it.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(end.as_bytes()) {
        stream
            .read_exact(&mut byte)
            .expect("a byte of the response");
        bytes.push(byte[0]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
