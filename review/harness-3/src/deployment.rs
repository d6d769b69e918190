//! The processes of a small deployment and the stand-ins around them.

use crate::engine::{Engine, SLOTS};
use crate::http::call;
use crate::record::Record;
use oleander_platform_standins::stand_in_service::StandInService;
use oleander_platform_standins::stand_in_store::StandInStore;
use serde_json::{Value, json};
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "desk.example";
/// Bound of the pages for a change of the configuration.
pub const CONFIG_BOUND: Duration = Duration::from_millis(2000);
/// Time for the processes to start and to know each other.
const START_LIMIT: Duration = Duration::from_secs(25);

/// Dispatchers of removed machines that run at the same time.
const REPLACED_AT_ONCE: usize = 10;

/// One process of the system, with its settings.
pub struct Node {
    pub name: String,
    role: &'static str,
    pub calls: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Node {
    fn new(
        name: &str,
        role: &'static str,
        store: SocketAddr,
        engine: Option<SocketAddr>,
        ports: &mut Ports,
    ) -> Self {
        let (calls, ready) = (ports.next(), ports.next());
        let (peers, metrics) = (ports.next(), ports.next());
        let engine = engine.map(|addr| addr.to_string()).unwrap_or_default();
        // As the template of the deploy file fills it in for krh-ops.
        let settings = format!(
            "[node]\nname = {name}\ndomain = z\nmemory_mb = 260\n[listen]\ncalls = {calls}\n\
             ready = {ready}\npeers = {peers}\nmetrics = {metrics}\n[store]\naddr = {store}\n\
             value_bytes = 1048576\n[engine]\naddr = {engine}\n[duties]\nlease = 3000ms\n\
             [keys]\nconfig_within = 2000ms\n[deployment]\ncontracts = \
             base,drain,config,cost,recover,samples,stream,engine,batch,platform\n[bounds]\n\
             grace = 8s\nleave_within = 2000ms\nsettle = 1000ms\nend_within = 3000ms\n\
             keep_results = 120s\n"
        );
        let file = ports.dir.join(format!("{name}.ini"));
        fs::write(&file, settings).expect("settings");
        Self {
            name: name.to_owned(),
            role,
            calls,
            ready,
            settings: file,
            log: ports.dir.join(format!("{name}.log")),
            program: ports.program.clone(),
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a log");
        let mut command = Command::new(&self.program);
        command.arg(self.role).arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null());
        command
            .stdout(log.try_clone().expect("a handle"))
            .stderr(log);
        self.child = Some(command.spawn().expect("the program starts"));
    }

    /// Tells the process to stop.
    pub fn terminate(&self) {
        let id = self.child.as_ref().map(Child::id).unwrap_or_default();
        let status = Command::new("kill")
            .args(["-TERM", &id.to_string()])
            .status();
        assert!(status.is_ok_and(|status| status.success()), "kill runs");
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Hands out free ports, and a temporary folder.
struct Ports {
    dir: PathBuf,
    program: PathBuf,
    given: Vec<u16>,
}

impl Ports {
    /// Returns an address below the range of outgoing connections that nothing uses now.
    fn next(&mut self) -> SocketAddr {
        let first = self.given.last().map_or_else(
            || 12_000 + (std::process::id() % 150) as u16 * 100,
            |last| last + 1,
        );
        for port in first..first + 2000 {
            if TcpListener::bind(("127.0.0.1", port)).is_ok() {
                self.given.push(port);
                return SocketAddr::from(([127, 0, 0, 1], port));
            }
        }
        panic!("no free port");
    }
}

/// A deployment; dropping it ends its processes.
pub struct Deployment {
    pub store: StandInStore,
    pub engines: Vec<Engine>,
    pub entries: Vec<Node>,
    pub agents: Vec<Node>,
    pub dispatchers: Vec<Node>,
    dir: PathBuf,
}

impl Deployment {
    /// Starts two entries, two dispatchers and an agent beside each engine; `services` names the
    /// service of each engine. `None` if they are not ready in time.
    pub fn start(
        record: &Record,
        config: &Value,
        models: &[&str],
        services: &[&str],
        event_interval: Duration,
    ) -> Option<Self> {
        Self::start_after(0, record, config, models, services, event_interval)
    }

    /// Does the same after `replaced` dispatchers have run on machines that were removed for good.
    pub fn start_after(
        replaced: usize,
        record: &Record,
        config: &Value,
        models: &[&str],
        services: &[&str],
        event_interval: Duration,
    ) -> Option<Self> {
        let store = StandInStore::spawn();
        store.put("config", "main", config);
        let mut engines = Vec::new();
        for (n, service) in services.iter().enumerate() {
            let engine = Engine::spawn(&format!("i-{n}"), models, event_interval, record);
            store.put("servers", &engine.instance, &engine.entry(service));
            engines.push(engine);
        }
        for n in 0..2 {
            let name = format!("desk-{n}");
            let desk = StandInService::spawn(&name);
            store.put("servers", &name, &desk.entry("desk"));
        }
        let dir = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let root = std::env::var("REVIEW_ROOT").unwrap_or_else(|_| "../..".to_owned());
        let mut ports = Ports {
            dir: dir.clone(),
            program: PathBuf::from(root).join("target/release/oleanderlock"),
            given: Vec::new(),
        };
        let numbers: Vec<usize> = (0..replaced).collect();
        for batch in numbers.chunks(REPLACED_AT_ONCE) {
            run_for_a_moment(batch, &store, &mut ports)?;
        }
        if replaced > 0 {
            record.line(&format!(
                "{replaced} dispatchers have run on machines that were removed"
            ));
        }
        let mut nodes = |role: &'static str, count: usize| -> Vec<Node> {
            // Later machines have later names.
            let names = (replaced..replaced + count).map(|n| format!("{role}-{n:04}"));
            let engine = |n: usize| (role == "agent").then(|| engines[n].addr);
            let named = names.enumerate();
            named
                .map(|(n, name)| Node::new(&name, role, store.addr(), engine(n), &mut ports))
                .collect()
        };
        let mut deployment = Self {
            dispatchers: nodes("dispatcher", 2),
            entries: nodes("entry", 2),
            agents: nodes("agent", services.len()),
            engines: engines.clone(),
            store,
            dir,
        };
        let all = deployment
            .dispatchers
            .iter_mut()
            .chain(&mut deployment.entries);
        all.chain(&mut deployment.agents).for_each(Node::start);
        let began = Instant::now();
        while !deployment.is_ready() {
            if began.elapsed() > START_LIMIT {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        record.line(&format!("ready, led by {:?}", deployment.leader_name()));
        Some(deployment)
    }

    fn is_ready(&self) -> bool {
        let answers = |entry: &Node| {
            let limit = Duration::from_secs(1);
            let reply = call(entry.ready, "GET", "/-/ready", &[], b"", limit);
            reply.is_some_and(|reply| reply.status == 200)
        };
        let Some(leader) = self.leader() else {
            return false;
        };
        let log = self.dispatchers[leader].text();
        let slots = format!("slots={SLOTS} ");
        let known = |agent: &Node| {
            let mut lines = log
                .lines()
                .filter(|line| line.contains("event=agent-known"));
            lines.any(|line| {
                line.contains(&format!("agent={} ", agent.name)) && line.contains(&slots)
            })
        };
        self.entries.iter().all(answers) && self.agents.iter().all(known)
    }

    /// Returns the name of the leading dispatcher, as the store has it.
    pub fn leader_name(&self) -> Option<String> {
        let object = self.store.get("dispatchers", "leader")?;
        object["spec"]["node"].as_str().map(str::to_owned)
    }

    /// Returns the index of the leading dispatcher.
    pub fn leader(&self) -> Option<usize> {
        let name = self.leader_name()?;
        self.dispatchers.iter().position(|node| node.name == name)
    }

    pub fn entry_addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.calls).collect()
    }
}

/// Starts dispatchers, waits until each has registered itself, and kills them.
fn run_for_a_moment(numbers: &[usize], store: &StandInStore, ports: &mut Ports) -> Option<()> {
    let names = numbers.iter().map(|n| format!("dispatcher-{n:04}"));
    let mut nodes: Vec<Node> = names
        .map(|name| Node::new(&name, "dispatcher", store.addr(), None, ports))
        .collect();
    nodes.iter_mut().for_each(Node::start);
    let began = Instant::now();
    let registered = |node: &Node| {
        store
            .get("dispatchers", &format!("node-{}", node.name))
            .is_some()
    };
    while !nodes.iter().all(registered) {
        if began.elapsed() > START_LIMIT {
            return None;
        }
        thread::sleep(Duration::from_millis(20));
    }
    Some(())
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        self.agents.clear();
        self.dispatchers.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns a configuration in which the route of the batch jobs leads to `service`; `None` leaves it out.
pub fn config(version: u64, service: Option<&str>) -> Value {
    let mut routes = vec![
        json!({"name": "reward", "host": HOST, "path_prefix": "/reward/", "kind": "safe",
        "timeout_ms": 1500, "goal_ms": 150, "prio": 2, "service": "desk", "attempts": 4}),
    ];
    if let Some(service) = service {
        routes.push(
            json!({"name": "jobs", "host": HOST, "path_prefix": "/jobs/", "kind": "rollout",
            "timeout_ms": 10_000, "goal_ms": 400, "run_goal_ms": 7500, "keep_s": 40, "prio": 1,
            "service": service, "attempts": 3}),
        );
    }
    let service = |name: &str| json!({"name": name, "health_path": "/health", "max_conns": 170});
    json!({"version": version, "routes": routes,
        "services": [service("desk"), service("lm"), service("lm-b")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 33_554_432, "header_ms": 3000,
            "idle_ms": 15_000}})
}
