//! The deployment of a soak: processes, stand-ins, a relay on every link, and what clients saw.

use crate::support::process::Process;
use crate::support::relay::{Mode, Relay};
use crate::support::{Node, Surroundings, config};
use oleander_platform_standins::engine::{EngineFaults, PreparedEngine};
use oleander_platform_standins::service::Treatment;
use oleander_platform_standins::store::StoreFaults;
use parking_lot::Mutex;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::plan::Act;
use super::run::Scale;

const EVENT_TIME: Duration = Duration::from_millis(15);
const SLOW_EVENT_TIME: Duration = Duration::from_millis(150);
/// Longest time that a process may take to end after SIGTERM: its grace, and a margin.
const STOP_MAX: Duration = Duration::from_secs(9);
/// Ways in which an endpoint treats calls; none of them is a failure that counts against an item.
const WAYS: [Treatment; 6] = [
    Treatment::AnswerTwice,
    Treatment::LoseAnswer,
    Treatment::Truncate,
    Treatment::OtherId,
    Treatment::Refuse,
    Treatment::Busy,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeState {
    Up,
    Paused,
    Stopping,
    Down,
}

/// A job as its trainer and its readers know it.
#[derive(Clone, Debug)]
pub struct KnownJob {
    pub body: Value,
    /// When it was accepted; `None` while no attempt was answered with 202.
    pub accepted: Option<Instant>,
    /// Whether every attempt was answered with "not run".
    pub refused: bool,
    /// Results in order, each with the time at which it was first seen.
    pub results: Vec<(Value, Instant)>,
}

/// A call as its caller knows it.
#[derive(Clone, Debug)]
pub struct KnownCall {
    pub once: bool,
    pub target: String,
    pub refused: bool,
}

/// What clients saw.
#[derive(Debug, Default)]
pub struct Seen {
    pub jobs: Mutex<HashMap<String, KnownJob>>,
    pub calls: Mutex<HashMap<String, KnownCall>>,
    pub violations: Mutex<Vec<String>>,
    pub whole_calls: AtomicU64,
    pub whole_steps: AtomicU64,
    pub done: AtomicBool,
}

impl Seen {
    pub fn violation(&self, text: String) {
        self.violations.lock().push(text);
    }

    pub fn is_done(&self) -> bool {
        self.done.load(Ordering::Relaxed)
    }
}

/// The deployment.
pub struct World {
    pub around: Surroundings,
    pub entries: Vec<SocketAddr>,
    nodes: Vec<(Node, NodeState)>,
    links: Vec<Relay>,
    engine_links: Vec<Relay>,
    /// The link of each dispatcher to the store.
    dispatcher_links: Vec<Relay>,
    /// Place of the first dispatcher among the nodes.
    first_dispatcher: usize,
    /// Leaders that acts have struck, in order.
    struck: Vec<usize>,
    config_version: u64,
    reborn: usize,
}

impl World {
    pub fn start(scale: Scale) -> Self {
        let size = scale.size;
        let around = Surroundings::spawn(size);
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
        for (n, service) in around.services.iter().enumerate() {
            around.list_service(n, link(service.addr()).addr());
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
            node.told = link(node.peers).addr();
            nodes.push(node);
        }
        let entries = nodes.iter().filter(|node| node.role == "entry");
        let entries = entries.map(|node| node.calls).collect();
        let mut world = Self {
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
            struck: Vec::new(),
            config_version: 1,
            reborn: 0,
        };
        world.start_all_down();
        world
    }

    /// Returns the paths of the processes' logs.
    pub fn logs(&self) -> Vec<String> {
        let processes = self.nodes.iter().filter_map(|(node, _)| {
            let process: &Process = node.process.as_ref()?;
            Some(process.log.display().to_string())
        });
        processes.collect()
    }

    fn start_all_down(&mut self) {
        for (node, state) in &mut self.nodes {
            if *state == NodeState::Down {
                node.start();
                *state = NodeState::Up;
            }
        }
    }

    /// Begins an act.
    pub fn begin(&mut self, act: Act) {
        match act {
            Act::StoreDown { watches_wait } => self.around.store.set_faults(StoreFaults {
                down: true,
                watches_wait,
                ..StoreFaults::default()
            }),
            Act::StoreLoses { one_in } => self.around.store.set_faults(StoreFaults {
                lose_one_in: one_in,
                ..StoreFaults::default()
            }),
            Act::StoreCompacts => self.around.store.compact(),
            Act::Kill { node } => self.kill(node % self.nodes.len()),
            Act::Pause { node } => self.signal(node, "STOP", NodeState::Paused),
            Act::Stop { node } => self.signal(node, "TERM", NodeState::Stopping),
            Act::KillAll => (0..self.nodes.len()).for_each(|node| self.kill(node)),
            Act::PauseLeader => {
                let leader = self.strike_leader();
                self.signal(self.first_dispatcher + leader, "STOP", NodeState::Paused);
            }
            Act::KillLeader => {
                let leader = self.strike_leader();
                self.kill(self.first_dispatcher + leader);
            }
            Act::CutLeader => {
                let leader = self.strike_leader();
                self.dispatcher_links[leader].set(Mode::Cut {
                    to_target: true,
                    from_target: true,
                });
            }
            Act::Delay { link, ms } => self.set(link, Mode::Delay(Duration::from_millis(ms))),
            Act::Cut {
                link,
                to_target,
                from_target,
            } => self.set(
                link,
                Mode::Cut {
                    to_target,
                    from_target,
                },
            ),
            Act::Refuse { link } => {
                self.set(link, Mode::Refuse);
                self.link(link).reset();
            }
            Act::Silence { link } => self.link(link).silence(),
            Act::Reset { link } => self.link(link).reset(),
            Act::SlowEngine { engine } => self.engine(engine).set_event_time(SLOW_EVENT_TIME),
            Act::BreakStreams { engine } => self.engine(engine).set_faults(EngineFaults {
                break_before: 3,
                ..EngineFaults::default()
            }),
            Act::LoseOrders { engine } => self.engine(engine).set_faults(EngineFaults {
                lose_orders: true,
                ..EngineFaults::default()
            }),
            Act::Reborn { engine } => self.begin_anew(engine % self.around.engines.len()),
            Act::FaultyService { service, way } => {
                let service = &self.around.services[service % self.around.services.len()];
                service.treat_all(WAYS[way % WAYS.len()]);
            }
            Act::NewConfig => {
                self.config_version += 1;
                self.around
                    .store
                    .put("config", "main", &config(self.config_version));
            }
        }
    }

    /// Ends an act.
    pub fn end(&mut self, act: Act, seen: &Seen) {
        match act {
            Act::StoreDown { .. } | Act::StoreLoses { .. } => {
                self.around.store.set_faults(StoreFaults::default());
            }
            Act::Kill { .. } | Act::KillAll | Act::KillLeader => self.start_all_down(),
            Act::PauseLeader => {
                for leader in std::mem::take(&mut self.struck) {
                    self.go_on(self.first_dispatcher + leader);
                }
            }
            Act::CutLeader => {
                for link in &self.dispatcher_links {
                    link.set(Mode::Pass);
                }
            }
            Act::Pause { node } => self.go_on(node % self.nodes.len()),
            Act::Stop { node } => self.await_stop(node % self.nodes.len(), seen),
            Act::Delay { link, .. } | Act::Cut { link, .. } | Act::Refuse { link } => {
                self.set(link, Mode::Pass);
            }
            Act::SlowEngine { engine } => self.engine(engine).set_event_time(EVENT_TIME),
            Act::BreakStreams { engine } | Act::LoseOrders { engine } => {
                self.engine(engine).set_faults(EngineFaults::default());
            }
            Act::FaultyService { service, .. } => {
                self.around.services[service % self.around.services.len()]
                    .treat_all(Treatment::Answer);
            }
            Act::StoreCompacts
            | Act::Silence { .. }
            | Act::Reset { .. }
            | Act::Reborn { .. }
            | Act::NewConfig => {}
        }
    }

    /// Ends all that still goes on.
    pub fn heal(&mut self, seen: &Seen) {
        self.around.store.set_faults(StoreFaults::default());
        for link in &self.links {
            link.set(Mode::Pass);
        }
        for engine in &self.around.engines {
            engine.set_faults(EngineFaults::default());
            engine.set_event_time(EVENT_TIME);
        }
        for service in &self.around.services {
            service.treat_all(Treatment::Answer);
        }
        for node in 0..self.nodes.len() {
            self.go_on(node);
            self.await_stop(node, seen);
        }
        self.start_all_down();
    }

    /// Notes processes that have ended by themselves.
    pub fn look_for_crashes(&mut self, seen: &Seen) {
        for (node, state) in &mut self.nodes {
            if *state == NodeState::Up
                && let Some(code) = node.process.as_mut().and_then(Process::ended)
            {
                seen.violation(format!("{} ended by itself with code {code}", node.name));
                node.start();
            }
        }
    }

    /// Returns which dispatcher leads now, by the store.
    fn strike_leader(&mut self) -> usize {
        let leader = self.around.store.get("dispatchers", "leader");
        let node = leader.and_then(|leader| leader["spec"]["node"].as_str().map(str::to_owned));
        let place = node.and_then(|node| node.strip_prefix("dispatcher-")?.parse().ok());
        let place = place.unwrap_or(0);
        self.struck.push(place);
        place
    }

    fn link(&self, link: usize) -> &Relay {
        &self.links[link % self.links.len()]
    }

    fn set(&self, link: usize, mode: Mode) {
        self.link(link).set(mode);
    }

    fn engine(&self, engine: usize) -> &PreparedEngine {
        &self.around.engines[engine % self.around.engines.len()]
    }

    fn kill(&mut self, node: usize) {
        let (node, state) = &mut self.nodes[node];
        node.kill();
        *state = NodeState::Down;
    }

    fn signal(&mut self, node: usize, signal: &str, becomes: NodeState) {
        let n = node % self.nodes.len();
        let (node, state) = &mut self.nodes[n];
        if *state == NodeState::Up {
            node.process().signal(signal);
            *state = becomes;
        }
    }

    fn go_on(&mut self, node: usize) {
        let (node, state) = &mut self.nodes[node];
        if *state == NodeState::Paused {
            node.process().signal("CONT");
            *state = NodeState::Up;
        }
    }

    /// Waits until a process that was asked to end has, and starts it again.
    fn await_stop(&mut self, node: usize, seen: &Seen) {
        let (node, state) = &mut self.nodes[node];
        if *state != NodeState::Stopping {
            return;
        }
        let began = Instant::now();
        let process = node.process.as_mut().expect("it was started");
        let code = loop {
            match process.ended() {
                Some(code) => break Some(code),
                None if began.elapsed() > STOP_MAX => break None,
                None => std::thread::sleep(Duration::from_millis(20)),
            }
        };
        if code != Some(0) {
            seen.violation(format!("{} stopped with {code:?}", node.name));
        }
        node.start();
        *state = NodeState::Up;
    }

    /// An engine starts anew: its old entry goes, its runs end, and a new one is listed.
    fn begin_anew(&mut self, n: usize) {
        self.reborn += 1;
        let engine = &self.around.engines[n];
        let before = engine.instance();
        engine.become_instance(&format!("engine-{n}-{}", self.reborn));
        self.engine_links[n].reset();
        self.around.store.remove("servers", &before);
        let relay = &self.engine_links[n];
        self.around.list_engine(n, relay.addr());
    }
}
