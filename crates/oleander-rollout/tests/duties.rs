//! Usage reports of a deployment of real processes: what the platform's API receives, while processes,
//! the store and the API fail.

mod support;

use oleander_platform_standins::call_behavior::CallBehavior;
use oleander_platform_standins::duty_call_record::DutyCallRecord;
use oleander_platform_standins::platform_api_fault::PlatformApiFault;
use oleander_platform_standins::stand_in_platform_api::StandInPlatformApi;
use oleander_platform_standins::store_faults::StoreFaults;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Read;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::{config_with_streams, wait_for};

const SIZE: DeploymentSize = DeploymentSize {
    entries: 2,
    engines: 1,
    dispatchers: 2,
    services: 2,
};
const WINDOW_MS: u64 = 2000;
const LEASE: Duration = Duration::from_millis(3000);
const WORKSPACES: [(&str, &str); 2] = [("acme", "acme-key-7d1f"), ("bolt", "bolt-key-55e8")];

/// Requests that began to run, by workspace and window.
type Truth = BTreeMap<u64, BTreeMap<String, u64>>;
/// A window, its report and what is true.
type Difference = (u64, BTreeMap<String, u64>, BTreeMap<String, u64>);

struct World {
    deployment: Deployment,
    api: StandInPlatformApi,
    truth: Truth,
    sent: u64,
}

fn unix_ms() -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH);
    passed.expect("a time after 1970").as_millis() as u64
}

fn with_workspaces(mut config: Value) -> Value {
    let tenants = WORKSPACES.map(|(name, key)| json!({"name": name, "api_keys": [key]}));
    config["tenants"] = json!(tenants);
    config
}

impl World {
    /// Starts a deployment that reports usage, and waits until it serves and a holder may report.
    fn start() -> Self {
        Self::start_with("usage", with_workspaces(config_with_streams(2)))
    }

    /// Starts a deployment with these duties and this configuration.
    fn start_with(duties: &str, config: Value) -> Self {
        let api = StandInPlatformApi::spawn();
        let settings = format!(
            "[platform_api]\naddr = {}\nduties = {duties}\ncalls_per_second = 20\n\
             [duties]\nusage_window = {WINDOW_MS}ms\nlease = 3s\n",
            api.addr()
        );
        let deployment = Deployment::start_with_settings(SIZE, &settings);
        deployment.store.put("config", "main", &config);
        let mut world = Self {
            deployment,
            api,
            truth: Truth::new(),
            sent: 0,
        };
        for entry in 0..SIZE.entries {
            wait_for("an entry asks for keys", || {
                let reply = world.deployment.call(entry, "GET", "/calls/x", &[], b"");
                reply.is_some_and(|reply| reply.status == 401)
            });
            wait_for("an entry serves", || {
                world.call(entry, 0, "/calls/warm") == Some(200)
            });
        }
        wait_for("the first report", || !world.api.usage().is_empty());
        world
    }

    /// Calls an entry in the name of a workspace and notes when the request began; returns the status.
    fn call(&mut self, entry: usize, workspace: usize, path: &str) -> Option<u16> {
        let (name, key) = WORKSPACES[workspace];
        self.sent += 1;
        let (id, token) = (format!("r-{}", self.sent), format!("Token {key}"));
        let headers = [
            ("request-id", id.as_str()),
            ("deadline-ms", "1400"),
            ("authorization", token.as_str()),
        ];
        self.keep_clear_of_window_ends();
        let window = unix_ms() / WINDOW_MS;
        let reply = self.deployment.call(entry, "POST", path, &headers, b"3");
        let ran = self.deployment.services.iter().any(|service| {
            let runs = service.calls_run();
            runs.iter().any(|run| run.header("request-id") == Some(&id))
        });
        let is_stream = path.starts_with("/chat/");
        let status = reply.map(|reply| reply.status);
        if ran || (is_stream && status == Some(200)) {
            let counts = self.truth.entry(window).or_default();
            *counts.entry(name.to_owned()).or_default() += 1;
        }
        status
    }

    /// Waits if a request that is sent now could begin to run in the next window.
    fn keep_clear_of_window_ends(&self) {
        let in_window = unix_ms() % WINDOW_MS;
        if in_window > WINDOW_MS - 500 {
            thread::sleep(Duration::from_millis(WINDOW_MS - in_window + 100));
        } else if in_window < 100 {
            thread::sleep(Duration::from_millis(100 - in_window));
        }
    }

    /// Sends calls and streams of both workspaces to both entries, for a number of windows.
    fn serve(&mut self, windows: u64) {
        let end = unix_ms() / WINDOW_MS + windows;
        while unix_ms() / WINDOW_MS < end {
            let n = self.sent;
            let path = if n % 5 == 4 { "/chat/x" } else { "/calls/x" };
            self.call((n % 2) as usize, (n % 3 / 2) as usize, path);
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until all windows that have ended by now are reported.
    fn wait_for_reports(&self) {
        let last = unix_ms() / WINDOW_MS - 1;
        wait_for("all windows are reported", || {
            self.api
                .usage()
                .last_key_value()
                .is_some_and(|(window, _)| *window >= last)
        });
    }

    /// Returns the reports that differ from the truth.
    fn differences(&self) -> Vec<Difference> {
        let reported = self.api.usage();
        let last = *reported.last_key_value().expect("a report").0;
        let first = *reported.first_key_value().expect("a report").0;
        let windows = first..=last;
        let compared = windows.map(|window| {
            let report = reported.get(&window);
            let report = report.unwrap_or_else(|| panic!("no report of window {window}"));
            let truth = self.truth.get(&window).cloned().unwrap_or_default();
            (window, report.clone(), truth)
        });
        compared
            .filter(|(_, report, truth)| report != truth)
            .collect()
    }

    /// Checks what holds on each day: one report for each window, and holders that keep apart.
    fn check_invariants(&self) {
        // Panics if a window has two reports.
        self.api.usage();
        check_holders(&self.api.calls());
    }

    fn expect_exact(&self) {
        self.check_invariants();
        let differences = self.differences();
        assert_eq!(differences, [], "log of the leader:\n{}", self.leader_log());
    }

    fn leader_log(&self) -> String {
        let leader = self.deployment.leader().expect("a leader");
        let log = self.deployment.dispatchers[leader].process().log();
        let lines = log.lines().filter(|line| {
            ["duty", "usage"]
                .iter()
                .any(|kind| line.contains(&format!("event={kind}")))
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    fn holders(&self) -> BTreeSet<String> {
        self.api
            .calls()
            .into_iter()
            .map(|call| call.holder)
            .collect()
    }
}

/// Checks that fences rise with the holder, and that no holder acts again shortly after another one.
fn check_holders(calls: &[DutyCallRecord]) {
    let mut holder_of = BTreeMap::new();
    let mut highest = 0;
    let mut changes: Vec<&DutyCallRecord> = Vec::new();
    for call in calls {
        let holder = holder_of.entry(call.fence).or_insert(&call.holder);
        assert_eq!(*holder, &call.holder, "holders of fence {}", call.fence);
        assert!(
            call.fence >= highest,
            "fence {} after {highest}",
            call.fence
        );
        highest = call.fence;
        match changes.last_mut() {
            Some(last) if last.holder == call.holder => *last = call,
            _ => changes.push(call),
        }
        if let [.., first, _, again] = changes.as_slice()
            && first.holder == again.holder
        {
            let apart = again.at - first.at;
            assert!(apart >= LEASE, "{} acts again after {apart:?}", call.holder);
        }
    }
}

/// Guards against requests that count twice, in a neighbouring window or not at all, and against more
/// than one write for each window.
#[test]
fn reports_are_exact_on_a_calm_run() {
    let mut world = World::start();
    let writes = |world: &World| world.leader_log().matches("event=usage-closed").count();
    let before = writes(&world);
    let record = |world: &World| {
        let object = world
            .deployment
            .store
            .get("duties", "usage")
            .expect("a record");
        object["meta"]["rev"].as_u64().expect("a revision")
    };
    let revision = record(&world);
    world.serve(5);
    world.wait_for_reports();
    world.expect_exact();
    assert!(record(&world) > revision);
    assert!(writes(&world) - before >= 4);
    assert_eq!(world.holders().len(), 1);
}

/// Guards against counting requests that were refused everywhere, and against not counting those that
/// failed at an endpoint or whose answer was lost.
#[test]
fn requests_count_if_an_endpoint_may_have_run_them() {
    let mut world = World::start();
    for behavior in [
        CallBehavior::Refuse,
        CallBehavior::Fail,
        CallBehavior::LoseAnswer,
        CallBehavior::RunOn,
    ] {
        for service in &world.deployment.services {
            service.set_default_behavior(behavior);
        }
        for entry in 0..SIZE.entries {
            world.call(entry, 1, "/once/x");
        }
    }
    world.wait_for_reports();
    world.expect_exact();
    let all = world.truth.values();
    let of_bolt: u64 = all.filter_map(|counts| counts.get("bolt")).sum();
    assert_eq!(of_bolt, 6);
}

/// Guards against windows that are lost or reported twice with the holder.
#[test]
fn windows_are_reported_exactly_when_the_leader_is_killed() {
    let mut world = World::start();
    world.serve(2);
    let leader = world.deployment.leader().expect("a leader");
    world.deployment.dispatchers[leader].kill();
    world.serve(4);
    wait_for("another holder", || world.holders().len() == 2);
    world.wait_for_reports();
    world.expect_exact();
}

/// Guards against an entry whose end stops the reports; it may take with it what it counted since its
/// last message.
#[test]
fn windows_are_reported_when_an_entry_is_killed() {
    let mut world = World::start();
    world.serve(2);
    thread::sleep(Duration::from_millis(1500));
    world.deployment.entries[1].kill();
    for _ in 0..100 {
        world.call(0, 0, "/calls/x");
        thread::sleep(Duration::from_millis(30));
    }
    world.wait_for_reports();
    world.expect_exact();
}

/// Guards against counts of the last second that are lost when an entry is told to stop.
#[test]
fn stopping_entry_sends_its_last_counts() {
    let mut world = World::start();
    world.serve(1);
    for _ in 0..5 {
        world.call(1, 0, "/calls/x");
    }
    world.deployment.entries[1].process().signal("TERM");
    for _ in 0..5 {
        world.call(1, 0, "/calls/x");
    }
    let entry = &mut world.deployment.entries[1];
    assert_eq!(entry.process.as_mut().expect("a process").wait(), Some(0));
    world.wait_for_reports();
    world.expect_exact();
}

/// Guards against reports that are dropped, changed or never repeated when the API fails.
#[test]
fn reports_are_repeated_until_the_api_takes_them() {
    for fault in [
        PlatformApiFault::Refuse(429),
        PlatformApiFault::Refuse(503),
        PlatformApiFault::Silent,
        PlatformApiFault::Reset,
        PlatformApiFault::Slow(Duration::from_millis(1500)),
    ] {
        let mut world = World::start();
        world.api.set_fault(fault);
        world.serve(3);
        world.api.set_fault(PlatformApiFault::None);
        world.serve(1);
        world.wait_for_reports();
        world.expect_exact();
    }
}

/// Guards against counts that are lost while nothing can be written, and against reports that were not
/// written.
#[test]
fn windows_are_reported_after_the_store_was_down() {
    let mut world = World::start();
    world.serve(1);
    world.deployment.store.set_faults(StoreFaults {
        down: true,
        keep_watches: true,
        ..StoreFaults::default()
    });
    let before = world.api.calls().len();
    thread::sleep(Duration::from_millis(1500));
    let sent = world.api.calls().len();
    world.serve(2);
    assert!(sent <= before + 1 && world.api.calls().len() == sent);
    world.deployment.store.set_faults(StoreFaults::default());
    world.serve(1);
    world.wait_for_reports();
    world.expect_exact();
}

/// Guards against a writer that takes a lost answer for a failure, or for a conflict of another holder.
#[test]
fn lost_answers_of_the_store_change_no_report() {
    let mut world = World::start();
    world.deployment.store.set_faults(StoreFaults {
        lose_response_every: 2,
        ..StoreFaults::default()
    });
    world.serve(4);
    world.deployment.store.set_faults(StoreFaults::default());
    world.wait_for_reports();
    world.expect_exact();
}

/// Guards against a holder that is frozen, loses the duty and goes on when it wakes.
#[test]
fn frozen_holder_does_not_act_when_it_wakes() {
    let mut world = World::start();
    world.serve(1);
    let leader = world.deployment.leader().expect("a leader");
    world.deployment.dispatchers[leader]
        .process()
        .signal("STOP");
    world.serve(2);
    wait_for("another holder", || world.holders().len() == 2);
    world.deployment.dispatchers[leader]
        .process()
        .signal("CONT");
    world.serve(3);
    world.wait_for_reports();
    world.expect_exact();
    let name = world.deployment.dispatchers[leader].name.clone();
    let calls = world.api.calls();
    let first_of_other = calls.iter().position(|call| call.holder != name);
    let later = &calls[first_of_other.expect("another holder")..];
    assert!(later.iter().all(|call| call.holder != name));
}

/// Guards against a client that leaves and takes its request out of the counts.
#[test]
fn request_whose_client_left_counts() {
    let mut world = World::start();
    for service in &world.deployment.services {
        service.set_default_behavior(CallBehavior::RunOn);
    }
    world.keep_clear_of_window_ends();
    let token = format!("Token {}", WORKSPACES[1].1);
    let headers = [
        ("host", support::HOST),
        ("request-id", "leaves"),
        ("deadline-ms", "1400"),
        ("authorization", token.as_str()),
    ];
    let window = unix_ms() / WINDOW_MS;
    let addr = world.deployment.entries[0].calls;
    let mut stream =
        support::http::send(addr, "POST", "/once/x", &headers, b"body").expect("a connection");
    wait_for("the call runs", || {
        let mut services = world.deployment.services.iter();
        services.any(|service| {
            let runs = service.calls_run();
            runs.iter()
                .any(|run| run.header("request-id") == Some("leaves"))
        })
    });
    stream.set_nonblocking(true).expect("a socket");
    assert!(stream.read(&mut [0]).is_err());
    drop(stream);
    let counts = world.truth.entry(window).or_default();
    *counts.entry("bolt".to_owned()).or_default() += 1;
    world.wait_for_reports();
    world.expect_exact();
}

/// Returns a configuration that lets the services have 2 to 4 endpoints.
fn with_scale(mut config: Value) -> Value {
    config["services"][0]["scale"] = json!({"min": 2, "max": 4, "boot_s": 1});
    config
}

impl World {
    /// Lets each slot of the services be taken.
    fn fill_services(&self) {
        for service in &self.deployment.services {
            service.set_default_behavior(CallBehavior::RunOn);
        }
        let token = format!("Token {}", WORKSPACES[0].1);
        let addr = self.deployment.entries[0].calls;
        for round in 0..8 {
            for n in 0..10 {
                let id = format!("fill-{round}-{n}");
                let headers = [
                    ("host", support::HOST),
                    ("request-id", id.as_str()),
                    ("deadline-ms", "1400"),
                    ("authorization", token.as_str()),
                ];
                let sent = support::http::send(addr, "POST", "/once/x", &headers, b"body");
                // The response is not of interest.
                thread::spawn(move || sent.map(support::read_text));
            }
            thread::sleep(Duration::from_millis(700));
        }
    }

    fn orders(&self) -> Vec<DutyCallRecord> {
        let calls = self.api.calls().into_iter();
        calls.filter(|call| call.path == "/scale").collect()
    }

    fn taken_counts(&self) -> Vec<u64> {
        let orders = self.orders().into_iter();
        let taken = orders.filter(|order| order.status == 200);
        taken
            .map(|order| order.body["group_count"].as_u64().expect("a number"))
            .collect()
    }
}

/// Guards against a busy service that gets no endpoints, orders beyond its limits, orders of another
/// holder or fence than the reports, and orders that are repeated.
#[test]
fn endpoints_of_a_busy_service_are_ordered_once_by_the_holder() {
    let config = with_scale(with_workspaces(config_with_streams(2)));
    let world = World::start_with("usage, scale", config);
    assert_eq!(world.taken_counts(), [0; 0]);
    world.fill_services();
    wait_for("the most endpoints are ordered", || {
        world.taken_counts().last() == Some(&4)
    });
    for order in world.orders() {
        assert_eq!(order.body["service"], "desk");
        assert_eq!(order.body["zone"], "z");
    }
    let counts = world.taken_counts();
    assert!(counts.windows(2).all(|two| two[0] < two[1]), "{counts:?}");
    world.check_invariants();
    let record = world.deployment.store.get("duties", "usage");
    assert_eq!(record.expect("a record")["spec"]["orders"][0]["count"], 4);
}

/// Guards against an order that is lost with the holder while the API is down.
#[test]
fn successor_sends_the_order_that_the_api_did_not_take() {
    let config = with_scale(with_workspaces(config_with_streams(2)));
    let mut world = World::start_with("usage, scale", config);
    world.api.set_fault(PlatformApiFault::Refuse(503));
    world.fill_services();
    wait_for("an order is sent", || !world.orders().is_empty());
    let leader = world.deployment.leader().expect("a leader");
    world.deployment.dispatchers[leader].kill();
    world.api.set_fault(PlatformApiFault::None);
    wait_for("the order is taken", || !world.taken_counts().is_empty());
    wait_for("another holder", || world.holders().len() == 2);
    world.check_invariants();
}

/// Guards against reports and orders of a deployment that asks for none.
#[test]
fn duties_that_are_not_listed_are_not_done() {
    let config = with_scale(with_workspaces(config_with_streams(2)));
    let world = World::start_with("usage", config);
    world.fill_services();
    world.wait_for_reports();
    assert!(world.orders().is_empty());
    let record = world.deployment.store.get("duties", "usage");
    assert!(record.expect("a record")["spec"].get("orders").is_none());
}
