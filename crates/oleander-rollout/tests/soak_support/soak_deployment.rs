//! The deployment of a soak: processes, stand-ins, and a relay on every link between them.

use crate::support::config_with_streams;
use crate::support::deployment_size::DeploymentSize;
use crate::support::node::Node;
use crate::support::process::{PROGRAM, Process};
use crate::support::relay::Relay;
use crate::support::relay_mode::RelayMode;
use crate::support::stand_ins::StandIns;
use oleander_platform_standins::call_behavior::CallBehavior;
use oleander_platform_standins::engine_faults::EngineFaults;
use oleander_platform_standins::stand_in_engine::StandInEngine;
use oleander_platform_standins::stand_in_service::StandInService;
use oleander_platform_standins::store_faults::StoreFaults;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use super::action::Action;
use super::named_limits::NamedLimits;
use super::observations::Observations;
use super::scale::Scale;

/// Header by which an endpoint names its rate limit.
const LIMIT: &str = "server-limit";
/// Software versions of the engines, which change with their restarts.
const SOFTWARE: [&str; 2] = ["v1", "v2"];
/// Clients of streams.
const STREAM_CLIENTS: usize = 3;
/// Body of the calls under which each service crashes.
pub const DEADLY: &[u8] = b"deadly";
const EVENT_TIME: Duration = Duration::from_millis(15);
const SLOW_EVENT_TIME: Duration = Duration::from_millis(150);
/// Longest time that a process may take to end after SIGTERM: its grace period and a margin.
const STOP_MAX: Duration = Duration::from_secs(9);
/// Faulty ways to handle calls; none of them is a failure that counts against an item.
const BEHAVIORS: [CallBehavior; 6] = [
    CallBehavior::AnswerTwice,
    CallBehavior::LoseAnswer,
    CallBehavior::Truncate,
    CallBehavior::OtherId,
    CallBehavior::Refuse,
    CallBehavior::Busy,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeState {
    Up,
    Paused,
    Stopping,
    Down,
}

/// The deployment of a soak: processes, stand-ins, and a relay on every link between them.
pub struct SoakDeployment {
    pub around: StandIns,
    pub entries: Vec<SocketAddr>,
    nodes: Vec<(Node, NodeState)>,
    links: Vec<Relay>,
    engine_links: Vec<Relay>,
    /// Link of each dispatcher to the store.
    dispatcher_links: Vec<Relay>,
    /// Index of the first dispatcher in `nodes`.
    first_dispatcher: usize,
    /// Numbers of the dispatchers that actions on the leader have hit, in order.
    hit_leaders: Vec<usize>,
    config_version: u64,
    engine_restarts: usize,
    service_addrs: Vec<SocketAddr>,
    /// Whether a client repeats a call under which services crash.
    pub deadly_call: bool,
    /// Clients of streams; none if programs of earlier builds run, which know no software versions.
    pub stream_clients: usize,
    service_restarts: usize,
    service_limits: Vec<NamedLimits>,
    engine_limits: Vec<NamedLimits>,
    /// Actions by which each engine is leaving now.
    engines_leaving: Vec<usize>,
    /// When processes were started.
    starts: Vec<Instant>,
}

impl SoakDeployment {
    pub fn start(scale: Scale) -> Self {
        let mut deployment = Self::start_with(scale.size, scale.deadly_call, &|_| PROGRAM.into());
        deployment.stream_clients = STREAM_CLIENTS;
        deployment
    }

    /// Starts the program that is named for each role.
    pub fn start_as(size: DeploymentSize, program: &dyn Fn(&str) -> PathBuf) -> Self {
        Self::start_with(size, false, program)
    }

    fn start_with(
        size: DeploymentSize,
        deadly_call: bool,
        program: &dyn Fn(&str) -> PathBuf,
    ) -> Self {
        let around = StandIns::spawn(size);
        let config_version = 2;
        let config = config_with_streams(config_version);
        around.store.put("config", "main", &config);
        for (n, engine) in around.engines.iter().enumerate() {
            engine.set_software(SOFTWARE[n % SOFTWARE.len()]);
        }
        let mut links = Vec::new();
        let mut link = |target: SocketAddr| {
            let relay = Relay::spawn(target);
            links.push(relay.clone());
            relay
        };
        let engine_links: Vec<Relay> = {
            let engines = around.engines.iter();
            engines.map(|engine| link(engine.addr())).collect()
        };
        for (n, relay) in engine_links.iter().enumerate() {
            around.list_engine(n, relay.addr());
        }
        let service_addrs: Vec<SocketAddr> = {
            let services = around.services.iter();
            let addr = |service: &StandInService| match deadly_call {
                true => service.addr(),
                false => link(service.addr()).addr(),
            };
            services.map(addr).collect()
        };
        for (n, addr) in service_addrs.iter().enumerate() {
            around.list_service(n, *addr);
            around.services[n].set_crashing_body(DEADLY);
        }
        let store = around.store.addr();
        let mut nodes = Vec::new();
        for n in 0..size.entries {
            let to_store = link(store).addr();
            nodes.push(Node::new(&format!("entry-{n}"), "entry", to_store, None));
        }
        for (n, engine) in engine_links.iter().enumerate() {
            let to_store = link(store).addr();
            let engine = Some(engine.addr());
            nodes.push(Node::new(&format!("agent-{n}"), "agent", to_store, engine));
        }
        let first_dispatcher = nodes.len();
        let mut dispatcher_links = Vec::new();
        for n in 0..size.dispatchers {
            dispatcher_links.push(link(store));
            let to_store = dispatcher_links[n].addr();
            let mut node = Node::new(&format!("dispatcher-{n}"), "dispatcher", to_store, None);
            node.advertised = link(node.peers).addr();
            nodes.push(node);
        }
        for node in &mut nodes {
            node.program = program(node.role);
        }
        let entries = nodes.iter().filter(|node| node.role == "entry");
        let entries = entries.map(|node| node.calls).collect();
        let mut deployment = Self {
            around,
            entries,
            nodes: nodes
                .into_iter()
                .map(|node| (node, NodeState::Down))
                .collect(),
            links,
            engine_links,
            dispatcher_links,
            first_dispatcher,
            hit_leaders: Vec::new(),
            config_version,
            engine_restarts: 0,
            service_addrs,
            deadly_call,
            stream_clients: 0,
            service_restarts: 0,
            service_limits: (0..size.services).map(|_| NamedLimits::default()).collect(),
            engine_limits: (0..size.engines).map(|_| NamedLimits::default()).collect(),
            engines_leaving: vec![0; size.engines],
            starts: Vec::new(),
        };
        deployment.start_all_down();
        deployment
    }

    /// Returns the paths of the logs of all processes that ran.
    pub fn logs(&self) -> Vec<PathBuf> {
        let logs = self.nodes.iter().flat_map(|(node, _)| &node.logs);
        logs.cloned().collect()
    }

    /// Asks a process to end, and starts another program in its place.
    pub fn replace(&mut self, name: &str, program: &Path, observed: &Observations) {
        let place = self.nodes.iter().position(|(node, _)| node.name == name);
        let place = place.expect("a known node");
        self.signal(place, "TERM", NodeState::Stopping);
        self.nodes[place].0.program = program.to_owned();
        self.await_stop(place, observed);
    }

    fn start_all_down(&mut self) {
        for (node, state) in &mut self.nodes {
            if *state == NodeState::Down {
                node.start();
                self.starts.push(Instant::now());
                *state = NodeState::Up;
            }
        }
    }

    /// Starts an action.
    pub fn begin(&mut self, action: Action) {
        match action {
            Action::StoreDown { watches_wait } => self.around.store.set_faults(StoreFaults {
                down: true,
                keep_watches: watches_wait,
                ..StoreFaults::default()
            }),
            Action::StoreLoses { one_in } => self.around.store.set_faults(StoreFaults {
                lose_response_every: one_in,
                ..StoreFaults::default()
            }),
            Action::StoreCompacts => self.around.store.compact(),
            Action::Kill { node } => self.kill(node % self.nodes.len()),
            Action::Pause { node } => self.signal(node, "STOP", NodeState::Paused),
            Action::Stop { node } => self.signal(node, "TERM", NodeState::Stopping),
            Action::KillAll => (0..self.nodes.len()).for_each(|node| self.kill(node)),
            Action::PowerCut { engine } => {
                self.restart_engine(engine % self.around.engines.len());
                (0..self.entries.len()).for_each(|entry| self.kill(entry));
            }
            Action::PauseLeader => {
                let leader = self.pick_leader();
                self.signal(self.first_dispatcher + leader, "STOP", NodeState::Paused);
            }
            Action::KillLeader => {
                let leader = self.pick_leader();
                self.kill(self.first_dispatcher + leader);
            }
            Action::Retire { dispatcher } => {
                let name = self.dispatcher_name(dispatcher);
                let request = serde_json::json!({"over_s": 5});
                self.around.store.put("retirements", &name, &request);
            }
            Action::CutLeader => {
                let leader = self.pick_leader();
                self.dispatcher_links[leader].set(RelayMode::Cut {
                    to_target: true,
                    from_target: true,
                });
            }
            Action::Delay { link, ms } => {
                self.set(link, RelayMode::Delay(Duration::from_millis(ms)))
            }
            Action::Cut {
                link,
                to_target,
                from_target,
            } => self.set(
                link,
                RelayMode::Cut {
                    to_target,
                    from_target,
                },
            ),
            Action::Refuse { link } => {
                self.set(link, RelayMode::Refuse);
                self.link(link).reset();
            }
            Action::Silence { link } => self.link(link).silence(),
            Action::Reset { link } => self.link(link).reset(),
            Action::SlowEngine { engine } => {
                self.engine(engine).set_event_interval(SLOW_EVENT_TIME)
            }
            Action::BreakStreams { engine } => self.engine(engine).set_faults(EngineFaults {
                break_at_event: 3,
                ..EngineFaults::default()
            }),
            Action::LoseOrders { engine } => self.engine(engine).set_faults(EngineFaults {
                lose_order_responses: true,
                ..EngineFaults::default()
            }),
            Action::RestartEngine { engine } => {
                self.restart_engine(engine % self.around.engines.len())
            }
            Action::FaultyService { service, treatment } => {
                let service = &self.around.services[service % self.around.services.len()];
                service.set_default_behavior(BEHAVIORS[treatment % BEHAVIORS.len()]);
            }
            Action::LimitService { service, tenths } => {
                let n = service % self.around.services.len();
                let rate = self.service_limits[n]
                    .begin(tenths as f64 / 10.0)
                    .to_string();
                self.around.services[n].set_added_headers(&[(LIMIT, &rate)]);
            }
            Action::LimitEngine { engine, tenths } => {
                let n = engine % self.around.engines.len();
                self.engine_limits[n].begin(tenths as f64 / 10.0);
                self.set_engine_headers(n);
            }
            Action::LeavingEngine { engine } => {
                let n = engine % self.around.engines.len();
                self.engines_leaving[n] += 1;
                self.set_engine_headers(n);
            }
            Action::CrashService { service } => {
                self.around.services[service % self.around.services.len()].crash();
            }
            Action::Signals { node } => {
                let n = node % self.nodes.len();
                let (node, state) = &mut self.nodes[n];
                if *state == NodeState::Up {
                    for signal in ["HUP", "HUP", "TERM", "HUP", "TERM"] {
                        node.process().signal(signal);
                    }
                    *state = NodeState::Stopping;
                }
            }
            Action::NewConfig => {
                self.config_version += 1;
                self.around
                    .store
                    .put("config", "main", &config_with_streams(self.config_version));
            }
        }
    }

    /// Ends an action, if it lasts.
    pub fn end(&mut self, action: Action, observed: &Observations) {
        match action {
            Action::StoreDown { .. } | Action::StoreLoses { .. } => {
                self.around.store.set_faults(StoreFaults::default());
            }
            Action::Kill { .. } | Action::KillAll | Action::KillLeader => self.start_all_down(),
            Action::PowerCut { engine } => {
                self.restart_engine_in_place((engine + 1) % self.around.engines.len());
                self.start_all_down();
            }
            Action::PauseLeader => {
                for leader in std::mem::take(&mut self.hit_leaders) {
                    self.resume(self.first_dispatcher + leader);
                }
            }
            Action::Retire { dispatcher } => {
                let name = self.dispatcher_name(dispatcher);
                self.around.store.remove("retirements", &name);
            }
            Action::CutLeader => {
                for link in &self.dispatcher_links {
                    link.set(RelayMode::Pass);
                }
            }
            Action::Pause { node } => self.resume(node % self.nodes.len()),
            Action::Stop { node } => self.await_stop(node % self.nodes.len(), observed),
            Action::Delay { link, .. } | Action::Cut { link, .. } | Action::Refuse { link } => {
                self.set(link, RelayMode::Pass);
            }
            Action::SlowEngine { engine } => self.engine(engine).set_event_interval(EVENT_TIME),
            Action::BreakStreams { engine } | Action::LoseOrders { engine } => {
                self.engine(engine).set_faults(EngineFaults::default());
            }
            Action::FaultyService { service, .. } => {
                self.around.services[service % self.around.services.len()]
                    .set_default_behavior(CallBehavior::Answer);
            }
            Action::LimitService { service, .. } => {
                let n = service % self.around.services.len();
                if self.service_limits[n].end() {
                    self.around.services[n].set_added_headers(&[]);
                }
            }
            Action::LimitEngine { engine, .. } => {
                let n = engine % self.around.engines.len();
                self.engine_limits[n].end();
                self.set_engine_headers(n);
            }
            Action::LeavingEngine { engine } => {
                let n = engine % self.around.engines.len();
                self.engines_leaving[n] -= 1;
                self.set_engine_headers(n);
                self.restart_engine(n);
            }
            Action::CrashService { .. } => self.restart_crashed_services(),
            Action::Signals { node } => self.await_stop(node % self.nodes.len(), observed),
            Action::StoreCompacts
            | Action::Silence { .. }
            | Action::Reset { .. }
            | Action::RestartEngine { .. }
            | Action::NewConfig => {}
        }
    }

    fn dispatcher_name(&self, dispatcher: usize) -> String {
        let dispatchers = &self.nodes[self.first_dispatcher..];
        dispatchers[dispatcher % dispatchers.len()].0.name.clone()
    }

    /// Ends all faults that are still active.
    pub fn end_all_faults(&mut self, observed: &Observations) {
        self.around.store.set_faults(StoreFaults::default());
        for link in &self.links {
            link.set(RelayMode::Pass);
        }
        for engine in &self.around.engines {
            engine.set_faults(EngineFaults::default());
            engine.set_event_interval(EVENT_TIME);
        }
        for service in &self.around.services {
            service.set_default_behavior(CallBehavior::Answer);
        }
        self.restart_crashed_services();
        for node in 0..self.nodes.len() {
            self.resume(node);
            self.await_stop(node, observed);
        }
        self.start_all_down();
    }

    /// Records processes that have ended by themselves as violations and starts them again.
    pub fn check_for_crashes(&mut self, observed: &Observations) {
        for (node, state) in &mut self.nodes {
            if *state == NodeState::Up
                && let Some(code) = node.process.as_mut().and_then(Process::exit_code)
            {
                observed.add_violation(format!("{} ended by itself with code {code}", node.name));
                node.start();
                self.starts.push(Instant::now());
            }
        }
    }

    /// Records as violations the endpoints that got more requests than they had named as limits.
    pub fn check_limits(&self, observed: &Observations) {
        let services = self.service_limits.iter().zip(&self.around.services);
        let services = services.map(|(limits, service)| (limits, service.arrivals()));
        let engines = self.engine_limits.iter().zip(&self.around.engines);
        let engines = engines.map(|(limits, engine)| (limits, engine.arrivals()));
        for (limits, arrivals) in services.chain(engines) {
            if let Some(violation) = limits.violation(&arrivals, &self.starts) {
                observed.add_violation(violation);
            }
        }
    }

    /// Starts the services again that have crashed, with new instance ids.
    pub fn restart_crashed_services(&mut self) {
        for n in 0..self.around.services.len() {
            let service = &self.around.services[n];
            if !service.is_down() {
                continue;
            }
            self.service_restarts += 1;
            let before = service.instance();
            service.restart(&format!("desk-{n}-{}", self.service_restarts));
            self.around.store.remove("servers", &before);
            self.around.list_service(n, self.service_addrs[n]);
        }
    }

    /// Returns the number of crashes of services under the deadly call.
    pub fn crashes(&self) -> usize {
        let services = self.around.services.iter();
        services.map(StandInService::crashes).sum()
    }

    /// Returns the number of the dispatcher that leads according to the store, and records it as
    /// hit.
    fn pick_leader(&mut self) -> usize {
        let leader = self.around.store.get("dispatchers", "leader");
        let node = leader.and_then(|leader| leader["spec"]["node"].as_str().map(str::to_owned));
        let number = node.and_then(|node| node.strip_prefix("dispatcher-")?.parse().ok());
        let number = number.unwrap_or(0);
        self.hit_leaders.push(number);
        number
    }

    fn link(&self, link: usize) -> &Relay {
        &self.links[link % self.links.len()]
    }

    fn set(&self, link: usize, mode: RelayMode) {
        self.link(link).set(mode);
    }

    fn engine(&self, engine: usize) -> &StandInEngine {
        &self.around.engines[engine % self.around.engines.len()]
    }

    /// Makes the responses of an engine say what all actions on it want together.
    fn set_engine_headers(&self, n: usize) {
        let limit = self.engine_limits[n].rate().map(|rate| rate.to_string());
        let limit = limit.as_deref().map(|rate| (LIMIT, rate));
        let leaving = (self.engines_leaving[n] > 0).then_some(("server-leaving", "1"));
        let headers: Vec<(&str, &str)> = limit.into_iter().chain(leaving).collect();
        self.around.engines[n].set_added_headers(&headers);
    }

    fn kill(&mut self, node: usize) {
        let (node, state) = &mut self.nodes[node];
        node.kill();
        *state = NodeState::Down;
    }

    fn signal(&mut self, node: usize, signal: &str, new_state: NodeState) {
        let n = node % self.nodes.len();
        let (node, state) = &mut self.nodes[n];
        if *state == NodeState::Up {
            node.process().signal(signal);
            *state = new_state;
        }
    }

    fn resume(&mut self, node: usize) {
        let (node, state) = &mut self.nodes[node];
        if *state == NodeState::Paused {
            node.process().signal("CONT");
            *state = NodeState::Up;
        }
    }

    /// Waits until a process that got SIGTERM has ended, and starts it again.
    fn await_stop(&mut self, node: usize, observed: &Observations) {
        let (node, state) = &mut self.nodes[node];
        if *state != NodeState::Stopping {
            return;
        }
        let began = Instant::now();
        let process = node.process.as_mut().expect("the process was started");
        let code = loop {
            match process.exit_code() {
                Some(code) => break Some(code),
                None if began.elapsed() > STOP_MAX => break None,
                None => std::thread::sleep(Duration::from_millis(20)),
            }
        };
        if code != Some(0) {
            observed.add_violation(format!("{} stopped with {code:?}", node.name));
        }
        node.start();
        self.starts.push(Instant::now());
        *state = NodeState::Up;
    }

    /// Restarts an engine: its runs end, and its entry is replaced by one with a new instance id.
    fn restart_engine(&mut self, n: usize) {
        self.engine_restarts += 1;
        let engine = &self.around.engines[n];
        let before = engine.instance();
        engine.restart_as(&format!("engine-{n}-{}", self.engine_restarts));
        engine.set_software(SOFTWARE[(n + self.engine_restarts) % SOFTWARE.len()]);
        self.engine_links[n].reset();
        self.around.store.remove("servers", &before);
        let relay = &self.engine_links[n];
        self.around.list_engine(n, relay.addr());
    }

    /// Restarts an engine under its instance id with another software version, and lists it then.
    fn restart_engine_in_place(&mut self, n: usize) {
        self.engine_restarts += 1;
        let software = SOFTWARE[(n + self.engine_restarts) % SOFTWARE.len()];
        // The start times of the stand-ins are numbers from 1 on.
        let started = 1 + self.engine_restarts as u64;
        self.around.engines[n].restart_in_place(software, started);
        self.engine_links[n].reset();
        self.around.list_engine(n, self.engine_links[n].addr());
    }
}
