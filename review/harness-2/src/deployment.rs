//! A small deployment: the platform's store, workers, processes of the system, and a trainer.

use crate::engine::{Engine, EngineSpec, Run};
use crate::http::{Reply, call};
use crate::json::{Json, number, object, text};
use crate::node::{Node, NodeSpec};
use crate::record::Record;
use crate::service::Service;
use crate::store::Store;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "ficu95.example";
pub const MODEL: &str = "daka510000";
/// Service of the model workers and plain service of the scoring calls.
pub const LLM: &str = "huvo11a";
pub const DESK: &str = "wuno96b";
const BATCH_PATH: &str = "/pule252/";
const SCORE_PATH: &str = "/pufi791/";

/// Time that a trainer waits for the answer to a read.
const READ_LIMIT: Duration = Duration::from_millis(2500);
const READ_PAUSE: Duration = Duration::from_millis(500);

pub type CaseResult<T> = Result<T, String>;

pub struct Deployment {
    pub record: Record,
    pub folder: PathBuf,
    pub store: Store,
    pub engines: Vec<Engine>,
    pub services: Vec<Service>,
    pub nodes: Vec<Node>,
}

impl Deployment {
    /// Starts the platform: its store with a configuration, and two workers of the plain service.
    pub fn start(record: &Record, folder: &Path) -> Self {
        let store = Store::start("127.0.1.1");
        store.put("config", "main", config());
        let deployment = Self {
            record: record.clone(),
            folder: folder.to_owned(),
            store,
            engines: Vec::new(),
            services: ["i-desk1", "i-desk2"]
                .iter()
                .map(|id| Service::start("127.0.1.2", id, DESK, "a", record.clone()))
                .collect(),
            nodes: Vec::new(),
        };
        for service in &deployment.services {
            deployment
                .store
                .put("servers", &service.id, service.entry());
        }
        deployment
    }

    /// Starts a model worker and lists it.
    pub fn add_engine(&mut self, spec: &EngineSpec<'_>) -> Engine {
        let engine = Engine::start(spec, self.record.clone());
        self.store.put("servers", &engine.id, engine.entry());
        self.engines.push(engine.clone());
        engine
    }

    pub fn add_node(&mut self, spec: &NodeSpec<'_>) -> CaseResult<()> {
        let node = Node::start(spec, &self.folder);
        let node = node.map_err(|error| format!("{} doesn't start: {error}", spec.name))?;
        self.nodes.push(node);
        Ok(())
    }

    pub fn entry(&self, name: &str) -> SocketAddr {
        let node = self.nodes.iter().find(|node| node.name == name);
        node.expect("a node").calls
    }

    /// Waits until an entry is ready, and as long as traffic waits after the start of the machines.
    pub fn wait_until_ready(&mut self, entry: &str) -> CaseResult<()> {
        let ready = self.nodes.iter().find(|node| node.name == entry);
        let ready = ready.expect("a node").ready;
        let started = Instant::now();
        let limit = Duration::from_secs(20);
        loop {
            let reply = call(ready, "GET", "/-/ready", &[], b"", Duration::from_secs(1));
            if reply.is_some_and(|reply| reply.status == 200) {
                break;
            }
            if started.elapsed() > limit {
                return Err(format!("{entry} is not ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        thread::sleep(Duration::from_secs(10).saturating_sub(started.elapsed()));
        self.expect_running()
    }

    pub fn expect_running(&mut self) -> CaseResult<()> {
        match self
            .nodes
            .iter_mut()
            .find_map(|node| (!node.runs()).then_some(&node.name))
        {
            Some(name) => Err(format!("{name} has ended")),
            None => Ok(()),
        }
    }

    /// Returns the node that holds the leader object of the dispatchers in the store.
    pub fn leader(&self) -> String {
        let leader = self.store.spec("dispatchers", "leader");
        leader.map_or(String::new(), |leader| leader.get("node").text().to_owned())
    }

    pub fn runs(&self) -> Vec<Run> {
        self.engines.iter().flat_map(Engine::runs).collect()
    }

    /// Requests that run at the model workers at a time in the past.
    pub fn running_at(&self, at: Instant) -> usize {
        let runs = self.runs();
        let ran = runs.iter().filter(|run| {
            run.began.is_some_and(|began| began <= at) && run.left.is_none_or(|left| left > at)
        });
        ran.count()
    }
}

fn config() -> Json {
    let route = |name: &str, path: &str, kind: &str, service: &str, more: &[(&str, Json)]| {
        let mut route = object(&[
            ("name", text(name)),
            ("host", text(HOST)),
            ("path_prefix", text(path)),
            ("kind", text(kind)),
            ("prio", number(1)),
            ("service", text(service)),
        ]);
        for (name, value) in more {
            route.set(name, value.clone());
        }
        route
    };
    let batch = [
        ("timeout_ms", number(10_000)),
        ("goal_ms", number(500)),
        ("attempts", number(3)),
        ("run_goal_ms", number(7500)),
        ("keep_s", number(40)),
    ];
    let score = [
        ("timeout_ms", number(2000)),
        ("goal_ms", number(400)),
        ("attempts", number(4)),
    ];
    let service = |name: &str| {
        object(&[
            ("name", text(name)),
            ("health_path", text("/health")),
            ("max_conns", number(180)),
        ])
    };
    let limits = object(&[
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(33_554_432)),
        ("header_ms", number(3000)),
        ("idle_ms", number(15_000)),
    ]);
    object(&[
        ("version", number(2)),
        (
            "routes",
            Json::List(vec![
                route("r-score", SCORE_PATH, "safe", DESK, &score),
                route("r-batch", BATCH_PATH, "rollout", LLM, &batch),
            ]),
        ),
        ("services", Json::List(vec![service(LLM), service(DESK)])),
        ("limits", limits),
    ])
}

/// A step of a trainer: a batch job whose items send `events` events each, in groups of four.
pub struct Step {
    pub id: String,
    pub items: Vec<String>,
    pub events: u64,
}

impl Step {
    pub fn new(id: &str, items: usize, events: u64) -> Self {
        Self {
            id: id.to_owned(),
            items: (0..items).map(|n| format!("{id}{n:04x}")).collect(),
            events,
        }
    }

    fn body(&self) -> Vec<u8> {
        let items = self.items.iter().enumerate().map(|(n, id)| {
            let group = n / 4;
            let prefix = format!("ab{group:04x}:255,cd{n:04x}:16");
            let headers = object(&[
                ("Model", text(MODEL)),
                ("Token-Count", text(&format!("271,{}", self.events * 4))),
                ("Prompt-Prefix", text(&prefix)),
            ]);
            let score = object(&[
                ("id", text(&format!("5c{id}"))),
                ("host", text(HOST)),
                ("path", text(&format!("{SCORE_PATH}{n}"))),
                ("body", text(&base64(id.as_bytes()))),
            ]);
            object(&[
                ("id", text(id)),
                ("path", text(&format!("{BATCH_PATH}3/{n}"))),
                ("headers", headers),
                ("body", text(&base64(self.events.to_string().as_bytes()))),
                ("tokens", number(271 + self.events * 4)),
                ("group", text(&format!("g{group}"))),
                ("scorer_url", score),
            ])
        });
        let groups = self.items.len().div_ceil(4) as u64;
        let job = object(&[
            ("step", number(1)),
            ("model", text(MODEL)),
            ("min_ver", number(1)),
            ("group_count", number(groups * 9 / 10)),
            ("items", Json::List(items.collect())),
        ]);
        job.to_string().into_bytes()
    }

    /// Submits the step; returns the time of the 202.
    pub fn submit(&self, deployment: &Deployment, entry: SocketAddr) -> CaseResult<Instant> {
        let path = format!("{BATCH_PATH}{}", self.id);
        let headers = [
            ("host", HOST),
            ("request-id", self.id.as_str()),
            ("content-type", "application/json"),
            ("deadline-ms", "10000"),
        ];
        let limit = Duration::from_secs(10);
        let reply = call(entry, "POST", &path, &headers, &self.body(), limit);
        let status = reply.map_or(0, |reply| reply.status);
        let record = &deployment.record;
        record.line(&format!("trainer: POST batch job {} -> {status}", self.id));
        match status {
            202 => Ok(Instant::now()),
            _ => Err(format!("the batch job is answered {status}")),
        }
    }

    /// Reads results from a position; `None` without an answer 200.
    pub fn read(&self, deployment: &Deployment, entry: SocketAddr, after: usize) -> Option<Json> {
        let path = format!("/-/lots/{}?after={after}", self.id);
        let reply = call(entry, "GET", &path, &[("host", HOST)], b"", READ_LIMIT);
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        let body = reply.filter(|reply| reply.status == 200);
        let body = body.and_then(|reply| Json::parse(&reply.text()));
        let read = body
            .as_ref()
            .map_or(0, |body| body.get("results").list().len());
        let record = &deployment.record;
        record.line(&format!(
            "trainer: GET results after {after} -> {status}, {read} results"
        ));
        body
    }

    /// Reads all results twice a second, until there are `wanted` or a time; returns their items.
    pub fn read_until(
        &self,
        deployment: &Deployment,
        entry: SocketAddr,
        wanted: usize,
        until: Instant,
    ) -> Vec<String> {
        let mut read: Vec<String> = Vec::new();
        while read.len() < wanted && Instant::now() < until {
            if let Some(body) = self.read(deployment, entry, read.len()) {
                for result in body.get("results").list() {
                    read.push(result.get("id").text().to_owned());
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            thread::sleep(READ_PAUSE.min(left));
        }
        read
    }

    /// Asks for the body of an item; returns the status of the answer, 0 without one.
    pub fn body_status(&self, deployment: &Deployment, entry: SocketAddr, item: &str) -> u16 {
        let path = format!("/-/items/{}?id={item}", self.id);
        let reply = call(entry, "GET", &path, &[("host", HOST)], b"", READ_LIMIT);
        let status = reply.map_or(0, |reply| reply.status);
        let record = &deployment.record;
        record.line(&format!("trainer: GET body of {item} -> {status}"));
        status
    }

    /// Ends the batch job.
    pub fn end(&self, deployment: &Deployment, entry: SocketAddr) -> Option<Reply> {
        let path = format!("/-/lots/{}", self.id);
        let reply = call(entry, "DELETE", &path, &[("host", HOST)], b"", READ_LIMIT);
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        let record = &deployment.record;
        record.line(&format!(
            "trainer: DELETE batch job {} -> {status}",
            self.id
        ));
        reply
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk
            .iter()
            .fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte));
        let bits = bits << (8 * (3 - chunk.len()));
        for n in 0..4 {
            let digit = bits >> (18 - 6 * n) & 63;
            let used = n <= chunk.len();
            out.push(if used {
                DIGITS[digit as usize] as char
            } else {
                '='
            });
        }
    }
    out
}
