//! A small deployment: stand-ins, and the processes of the three roles.

use crate::client::{HOST, Reply, base64, call};
use crate::engine::{Engine, MODEL};
use crate::process::Node;
use crate::record::Record;
use crate::store::Store;
use oleander_platform_standins::stand_in_service::StandInService;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longest wait for a deployment to become ready, or for a step of a case.
pub const WAIT: Duration = Duration::from_secs(30);
/// Time after the start at which a case gives up waiting.
const LONGEST_RUN_MS: u128 = 100_000;

/// What a deployment consists of.
pub struct Size {
    pub entries: usize,
    pub dispatchers: usize,
    pub engines: usize,
    pub slots: usize,
    pub event_ms: u64,
    /// `drain_ms` and `config_ms` of the site.
    pub bound_ms: u64,
}

/// A running deployment.
pub struct Deployment {
    pub store: Store,
    pub engines: Vec<Engine>,
    pub service: StandInService,
    pub entries: Vec<Node>,
    pub agents: Vec<Node>,
    pub dispatchers: Vec<Node>,
    pub record: Record,
    failures: Failures,
    dir: PathBuf,
}

/// Items of runs that were answered with 500.
type Failures = Arc<Mutex<Vec<String>>>;

/// Returns a configuration with a route for batch jobs and one for reward calls.
pub fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            {"name": "jobs", "host": HOST, "path_prefix": "/rollout/", "kind": "rollout",
             "timeout_ms": 10_000, "goal_ms": 400, "prio": 1, "service": "llm", "attempts": 3,
             "run_goal_ms": 7500, "keep_s": 40},
            {"name": "score", "host": HOST, "path_prefix": "/score/", "kind": "safe",
             "timeout_ms": 1500, "goal_ms": 150, "prio": 2, "service": "desk", "attempts": 4}],
        "services": [{"name": "llm", "health_path": "/health", "max_conns": 170},
                     {"name": "desk", "health_path": "/health", "max_conns": 110}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 33_554_432, "header_ms": 3000,
                   "idle_ms": 15_000}
    })
}

impl Deployment {
    /// Starts a deployment and waits until it serves.
    pub fn start(size: &Size, config: &Value, record: &Record) -> Self {
        let dir = std::env::temp_dir().join(format!("oleander-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let store = Store::default();
        store.put("config", "main", config);
        let service = StandInService::spawn("desk-0");
        store.put("servers", &service.instance(), &service.entry("desk"));
        let failures = Failures::default();
        let engines: Vec<Engine> = (0..size.engines)
            .map(|n| {
                let name = format!("engine-{n}");
                Engine::start(
                    "llm",
                    &name,
                    size.slots,
                    size.event_ms,
                    &store,
                    &failures,
                    record,
                )
            })
            .collect();
        let node = |name: String, role, engine| {
            let mut node = Node::new(
                &name,
                role,
                store.address_for(&name),
                size.bound_ms,
                engine,
                &dir,
                record,
            );
            node.start();
            node
        };
        let dispatchers =
            (0..size.dispatchers).map(|n| node(format!("store-{n}"), "dispatcher", None));
        let dispatchers: Vec<Node> = dispatchers.collect();
        let agents = engines.iter().enumerate();
        let agents = agents.map(|(n, one)| node(format!("side-{n}"), "agent", Some(one.addr)));
        let agents: Vec<Node> = agents.collect();
        let entries = (0..size.entries).map(|n| node(format!("front-{n}"), "entry", None));
        let entries: Vec<Node> = entries.collect();
        let deployment = Self {
            entries,
            agents,
            dispatchers,
            store,
            engines,
            service,
            record: record.clone(),
            failures,
            dir,
        };
        deployment.wait("entries are ready", |d| {
            let mut ready = d.entries.iter().map(|node| node.ready);
            ready.all(|addr| {
                call(addr, "GET", "/-/ready", &[], b"").is_some_and(|r| r.status == 200)
            })
        });
        deployment.wait("the leader knows all agents", |d| {
            let logs: String = d.dispatchers.iter().map(Node::log).collect();
            (0..size.engines).all(|n| {
                let name = format!("agent=side-{n} ");
                let slots = format!("slots={}", size.slots);
                logs.lines().any(|line| {
                    line.contains("event=agent-known")
                        && line.contains(&name)
                        && line.contains(&slots)
                })
            })
        });
        deployment
    }

    /// Adds a worker of a service with its agent.
    pub fn add_engine(&mut self, service: &str, size: &Size) {
        let name = format!("{service}-{}", self.engines.len());
        let (store, record) = (&self.store, &self.record);
        let (slots, event_ms) = (size.slots, size.event_ms);
        let engine = Engine::start(
            service,
            &name,
            slots,
            event_ms,
            store,
            &self.failures,
            record,
        );
        let name = format!("side-{}", self.agents.len());
        let addr = store.address_for(&name);
        let engine_addr = Some(engine.addr);
        let mut node = Node::new(
            &name,
            "agent",
            addr,
            size.bound_ms,
            engine_addr,
            &self.dir,
            record,
        );
        node.start();
        self.engines.push(engine);
        self.agents.push(node);
    }

    /// Waits until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics if it doesn't in time, so that the case can't run.
    pub fn wait(&self, what: &str, condition: impl Fn(&Self) -> bool) {
        let began = Instant::now();
        while !condition(self) {
            if began.elapsed() > WAIT || self.record.now_ms() > LONGEST_RUN_MS {
                self.record.line(&format!("can't run: {what} not in time"));
                // The processes are ended on the way.
                panic!("{what}: not in time");
            }
            sleep(Duration::from_millis(5));
        }
    }

    /// Returns the index of the leading dispatcher according to the store.
    pub fn leader(&self) -> Option<usize> {
        let object = self.store.get("dispatchers", "leader")?;
        let node = object["spec"]["node"].as_str()?.to_owned();
        self.dispatchers.iter().position(|one| one.name == node)
    }

    /// Submits a batch job until it is accepted.
    pub fn submit(&self, entry: usize, id: &str, job: &Value) {
        self.submit_at(entry, "/rollout/", id, job);
    }

    /// Submits a batch job under the path prefix of a route until it is accepted.
    pub fn submit_at(&self, entry: usize, prefix: &str, id: &str, job: &Value) {
        let headers = [("request-id", id), ("deadline-ms", "12000")];
        let target = format!("{prefix}{id}");
        let addr = self.entries[entry].calls;
        self.wait("the job is accepted", |d| {
            let reply = call(addr, "POST", &target, &headers, job.to_string().as_bytes());
            let status = reply.as_ref().map(|reply| reply.status);
            d.record.line(&format!("POST job {id} -> {status:?}"));
            status == Some(202)
        });
    }

    /// Ends a batch job.
    pub fn end(&self, entry: usize, id: &str) {
        let addr = self.entries[entry].calls;
        let reply = call(addr, "DELETE", &format!("/-/lots/{id}"), &[], b"");
        let status = reply.map(|reply| reply.status);
        self.record.line(&format!("DELETE job {id} -> {status:?}"));
    }

    /// Reads results from a position on.
    pub fn read(&self, entry: usize, id: &str, after: usize) -> Option<Reply> {
        let target = format!("/-/lots/{id}?after={after}");
        let addr = self.entries[entry].calls;
        call(addr, "GET", &target, &[("wait-ms", "200")], b"")
    }

    /// Reads until all results of a job are listed, or `limit` has passed; records each result.
    pub fn read_all(&self, entry: usize, id: &str, total: usize, limit: Duration) -> Vec<Value> {
        let mut results: Vec<Value> = Vec::new();
        let began = Instant::now();
        let in_time = || began.elapsed() < limit && self.record.now_ms() < LONGEST_RUN_MS;
        while results.len() < total && in_time() {
            let reply = self.read(entry, id, results.len());
            let status = reply.as_ref().map(|reply| reply.status);
            if status != Some(200) {
                self.record.line(&format!("GET job {id} -> {status:?}"));
                sleep(Duration::from_millis(300));
                continue;
            }
            let read = reply.map(|reply| reply.json()).unwrap_or_default();
            for result in read["results"].as_array().into_iter().flatten() {
                self.record.line(&format!(
                    "result position={} item={} state={} versions={}",
                    results.len(),
                    result["id"],
                    result["state"],
                    result["versions"]
                ));
                results.push(result.clone());
            }
        }
        results
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let nodes = self.entries.iter_mut().chain(&mut self.agents);
        nodes.chain(&mut self.dispatchers).for_each(Node::kill);
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            println!("logs in {}", self.dir.display());
        }
    }
}

/// Returns an item of a batch job whose run does what `body` says.
pub fn item(id: &str, group: &str, body: &str) -> Value {
    json!({"id": id, "path": format!("/rollout/{id}"),
        "headers": {"Model": MODEL, "Token-Count": "100,200", "Prompt-Prefix": "9c2e41:100"},
        "body": base64(body.as_bytes()), "tokens": 300, "group": group,
        "scorer_url": {"id": format!("5c{id}"), "host": HOST, "path": "/score/x",
                       "body": base64(b"score")}})
}

/// Returns a batch job of these items.
pub fn job(step: u64, min_ver: u64, groups: usize, items: &[Value]) -> Value {
    json!({"step": step, "model": MODEL, "min_ver": min_ver, "group_count": groups, "items": items})
}
