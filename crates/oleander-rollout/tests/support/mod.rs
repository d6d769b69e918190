//! Test deployments of real processes, with stand-ins for the platform, engines and services.
#![allow(dead_code, reason = "each test file uses a part of the harness")]

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
use http::{Reply, call};
use oleander_platform_standins::stand_in_engine::StandInEngine;
use oleander_platform_standins::stand_in_service::StandInService;
use oleander_platform_standins::stand_in_store::StandInStore;
use oleander_standins::free_address::free_address;
use process::{PROGRAM, Process};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "desk.example";
pub const MODEL: &str = "advisor";
/// Timeout of [`wait_for`]; a test that reaches it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// How large a deployment is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub entries: usize,
    pub engines: usize,
    pub dispatchers: usize,
    pub services: usize,
}

pub const SMALL: Size = Size {
    entries: 2,
    engines: 2,
    dispatchers: 2,
    services: 2,
};

/// One process with its settings; the process may be down.
pub struct Node {
    pub name: String,
    pub role: &'static str,
    pub calls: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    /// Where others find it.
    pub told: SocketAddr,
    pub metrics: SocketAddr,
    pub engine: Option<SocketAddr>,
    pub store: SocketAddr,
    pub program: PathBuf,
    pub process: Option<Process>,
    /// Logs of all its processes, in order.
    pub logs: Vec<PathBuf>,
}

impl Node {
    pub fn new(
        name: &str,
        role: &'static str,
        store: SocketAddr,
        engine: Option<SocketAddr>,
    ) -> Self {
        let free = || free_address().expect("a free address");
        let peers = free();
        Self {
            name: name.to_owned(),
            role,
            calls: free(),
            ready: free(),
            peers,
            told: peers,
            metrics: free(),
            engine,
            store,
            program: PROGRAM.into(),
            process: None,
            logs: Vec::new(),
        }
    }

    fn settings(&self) -> String {
        let engine = self.engine.map(|addr| addr.to_string()).unwrap_or_default();
        format!(
            "[node]\nname = {}\ndomain = z\n[listen]\ncalls = {}\nready = {}\npeers = {}\n\
             told = {}\nmetrics = {}\n[store]\naddr = {}\n[engine]\naddr = {engine}\n\
             [bounds]\ngrace = 6s\n",
            self.name, self.calls, self.ready, self.peers, self.told, self.metrics, self.store
        )
    }

    pub fn start(&mut self) {
        let settings = self.settings();
        let process = Process::start_program(&self.program, &self.name, self.role, &settings);
        self.put(process);
    }

    /// Starts it with the settings file of an earlier process.
    pub fn start_on_file(&mut self, settings: PathBuf) {
        let process = Process::start_on_file(&self.program, &self.name, self.role, settings);
        self.put(process);
    }

    fn put(&mut self, process: Process) {
        self.logs.push(process.log.clone());
        self.process = Some(process);
    }

    pub fn kill(&mut self) {
        self.process = None;
    }

    pub fn process(&self) -> &Process {
        self.process.as_ref().expect("it runs")
    }

    /// Fails the test, with what the process said, if it has ended by itself.
    fn expect_running(&mut self) {
        let process = self.process.as_mut().expect("it was started");
        if let Some(code) = process.ended() {
            panic!("{} ended with {code}: {}", self.name, process.log());
        }
    }
}

/// The stand-ins around a deployment.
pub struct Surroundings {
    pub store: StandInStore,
    pub engines: Vec<StandInEngine>,
    pub services: Vec<StandInService>,
}

impl Surroundings {
    /// Starts them, with a configuration and no endpoint in the store.
    pub fn spawn(size: Size) -> Self {
        let store = StandInStore::spawn();
        store.put("config", "main", &config(1));
        let engines = (0..size.engines)
            .map(|n| StandInEngine::spawn(&format!("engine-{n}"), MODEL, EVENT_TIME));
        let services = (0..size.services).map(|n| StandInService::spawn(&format!("desk-{n}")));
        Self {
            store,
            engines: engines.collect(),
            services: services.collect(),
        }
    }

    /// Lists an engine under the address at which it is reached.
    pub fn list_engine(&self, n: usize, addr: SocketAddr) {
        let engine = &self.engines[n];
        let mut entry = engine.entry("llm");
        entry["addr"] = json!(addr.to_string());
        self.store.put("servers", &engine.instance(), &entry);
    }

    /// Lists a service under the address at which it is reached.
    pub fn list_service(&self, n: usize, addr: SocketAddr) {
        let mut entry = self.services[n].entry("desk");
        entry["addr"] = json!(addr.to_string());
        self.store.put("servers", &format!("desk-{n}"), &entry);
    }
}

/// Processes of the system and the stand-ins around them.
pub struct Deployment {
    pub store: StandInStore,
    pub engines: Vec<StandInEngine>,
    pub services: Vec<StandInService>,
    pub entries: Vec<Node>,
    pub agents: Vec<Node>,
    pub dispatchers: Vec<Node>,
}

impl Deployment {
    pub fn start(size: Size) -> Self {
        Self::start_as(size, &|_| PROGRAM.into())
    }

    /// Starts the program that is named for each role.
    pub fn start_as(size: Size, program: &dyn Fn(&str) -> PathBuf) -> Self {
        let around = Surroundings::spawn(size);
        for n in 0..size.engines {
            around.list_engine(n, around.engines[n].addr());
        }
        for n in 0..size.services {
            around.list_service(n, around.services[n].addr());
        }
        let Surroundings {
            store,
            engines,
            services,
        } = around;
        let nodes = |count: usize, role: &'static str| -> Vec<Node> {
            let names = (0..count).map(|n| format!("{role}-{n}"));
            names
                .map(|name| Node::new(&name, role, store.addr(), None))
                .collect()
        };
        let agents = engines.iter().enumerate().map(|(n, engine)| {
            Node::new(
                &format!("agent-{n}"),
                "agent",
                store.addr(),
                Some(engine.addr()),
            )
        });
        let mut deployment = Self {
            entries: nodes(size.entries, "entry"),
            agents: agents.collect(),
            dispatchers: nodes(size.dispatchers, "dispatcher"),
            store,
            engines,
            services,
        };
        for node in deployment.nodes_mut() {
            node.program = program(node.role);
            node.start();
        }
        for n in 0..size.entries {
            let ready = deployment.entries[n].ready;
            wait_for("an entry is ready", || {
                deployment.nodes_mut().for_each(Node::expect_running);
                call(ready, "GET", "/-/ready", &[], b"").is_some_and(|reply| reply.status == 200)
            });
        }
        wait_for("a dispatcher knows all engines", || {
            deployment.nodes_mut().for_each(Node::expect_running);
            let leader = deployment.leader();
            let log = leader.map(|n| deployment.dispatchers[n].process().log());
            let log = log.unwrap_or_default();
            (0..size.engines).all(|n| {
                let known = log
                    .lines()
                    .filter(|line| line.contains("event=agent-known"));
                let mut of_agent = known.filter(|line| line.contains(&format!("agent=agent-{n} ")));
                of_agent.any(|line| line.contains("slots=8"))
            })
        });
        deployment
    }

    pub fn nodes_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        let nodes = self.entries.iter_mut().chain(&mut self.agents);
        nodes.chain(&mut self.dispatchers)
    }

    /// Calls an entry.
    pub fn call(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Option<Reply> {
        let mut all = vec![("host", HOST)];
        all.extend_from_slice(headers);
        call(self.entries[entry].calls, method, path, &all, body)
    }

    /// Submits a job until it is accepted.
    pub fn submit(&self, entry: usize, job: &str, body: &Value) {
        wait_for("a job is accepted", || {
            self.try_submit(entry, job, body) == Some(202)
        });
    }

    pub fn try_submit(&self, entry: usize, job: &str, body: &Value) -> Option<u16> {
        let path = format!("/rollout/{job}");
        let headers = [("request-id", job), ("deadline-ms", "3000")];
        let reply = self.call(entry, "POST", &path, &headers, body.to_string().as_bytes());
        reply.map(|reply| reply.status)
    }

    /// Reads all results that are listed now; `None` when the entry can't be sure.
    pub fn read(&self, entry: usize, job: &str, after: usize) -> Option<Value> {
        let path = format!("/-/lots/{job}?after={after}");
        let reply = self.call(entry, "GET", &path, &[("wait-ms", "200")], b"")?;
        let read = (reply.status == 200).then(|| serde_json::from_slice(&reply.body).ok());
        read.flatten()
    }

    /// Reads until all items of a job are listed, and returns the results.
    pub fn read_all(&self, entry: usize, job: &str, total: usize) -> Vec<Value> {
        let mut results: Vec<Value> = Vec::new();
        wait_for("all results are listed", || {
            if let Some(read) = self.read(entry, job, results.len()) {
                assert_eq!(read["total"], total);
                let new = read["results"].as_array().expect("results");
                results.extend(new.iter().cloned());
                assert_eq!(read["next"], results.len());
            }
            results.len() >= total
        });
        results
    }

    /// Returns how many runs the engines work on.
    pub fn running(&self) -> usize {
        self.engines.iter().map(StandInEngine::running).sum()
    }

    /// Returns the dispatcher that the store says leads.
    pub fn leader(&self) -> Option<usize> {
        let object = self.store.get("dispatchers", "leader")?;
        let node = object["spec"]["node"].as_str()?.to_owned();
        self.dispatchers.iter().position(|one| one.name == node)
    }
}

/// A configuration with a route for calls, one for calls that run once at most, and one for jobs.
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
