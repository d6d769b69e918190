//! How fast and at what cost a change of configuration reaches all nodes.

use crate::capacity_fit::{Fit, Point};
use crate::capacity_node::{LightNode, Mechanism};
use crate::capacity_store::FakeStore;
use crate::capacity_usage::cpu_seconds;
use bytes::Bytes;
use oleander_link::{LinkKeys, Mailbox};
use oleanderlock::journal_messages::JournalEntry;
use oleanderlock::prelude::*;
use oleanderlock::site::Site;
use oleanderlock::watcher_choice::{WatcherCounts, gossip_peers, is_watcher};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Nodes of the fleet that is designed for.
pub const DESIGN_NODES: f64 = 1220.0;
/// The port to try next.
static NEXT_PORT: AtomicU16 = AtomicU16::new(11_000);
const DOMAINS: usize = 7;
const OBJECTS: u64 = 20;
const OBJECT_BYTES: usize = 2048;
const CHANGES: u64 = 6;
const HEARTBEAT: Duration = Duration::from_secs(2);
const POLL: Duration = Duration::from_secs(2);
const WATCH: Duration = Duration::from_secs(10);
const QUIET: Duration = Duration::from_secs(6);
const HANG: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(1);

/// Nodes that run, and the threads that serve them.
struct Fleet {
    nodes: Vec<Arc<LightNode>>,
    store: Arc<FakeStore>,
    stop: Arc<AtomicBool>,
    ticker: Option<JoinHandle<()>>,
    _mailboxes: Vec<Mailbox>,
}

/// What one run showed.
#[derive(Clone, Copy, Debug)]
struct Figures {
    nodes: usize,
    everywhere_ms: f64,
    quiet_bytes_s: f64,
    busiest_bytes_s: f64,
    bytes_per_change: f64,
    quiet_calls_s: f64,
    calls_per_change: f64,
    cpu_percent: f64,
    restart_ms: f64,
    restart_calls: f64,
}

/// Runs the mechanisms at every size and prints fits.
pub fn run(mechanisms: &[Mechanism], sizes: &[usize]) {
    println!(
        "mechanism nodes everywhere_ms quiet_B/s busiest_B/s B/change quiet_calls/s calls/change cpu_%/node restart_ms restart_calls"
    );
    for mechanism in mechanisms {
        let figures: Vec<Figures> = sizes
            .iter()
            .map(|size| measure(*mechanism, *size))
            .collect();
        print_fits(*mechanism, &figures);
    }
}

fn print_fits(mechanism: Mechanism, figures: &[Figures]) {
    let fit = |name: &str, value: fn(&Figures) -> f64| {
        let points: Vec<Point> = figures
            .iter()
            .map(|seen| Point {
                x: seen.nodes as f64,
                y: value(seen),
            })
            .collect();
        Fit::of(&points).print(&format!("{mechanism} {name}"), "nodes", DESIGN_NODES);
    };
    fit("everywhere_ms", |seen| seen.everywhere_ms);
    fit("quiet_B/s", |seen| seen.quiet_bytes_s);
    fit("busiest_B/s", |seen| seen.busiest_bytes_s);
    fit("B/change", |seen| seen.bytes_per_change);
    fit("quiet_calls/s", |seen| seen.quiet_calls_s);
    fit("calls/change", |seen| seen.calls_per_change);
    fit("cpu_%/node", |seen| seen.cpu_percent);
}

fn measure(mechanism: Mechanism, size: usize) -> Figures {
    let mut fleet = Fleet::start(mechanism, size);
    for at in 0..OBJECTS {
        fleet.change(at, at + 1);
    }
    fleet.wait_everywhere(fleet.digest());
    let quiet = fleet.watch_quiet();
    let changes = fleet.watch_changes();
    let restart = fleet.watch_restart();
    fleet.stop();
    let figures = Figures {
        nodes: size,
        ..merge(quiet, changes, restart)
    };
    print_row(mechanism, &figures);
    figures
}

fn print_row(mechanism: Mechanism, seen: &Figures) {
    println!(
        "{mechanism} {} {:.1} {:.0} {:.0} {:.0} {:.2} {:.1} {:.3} {:.1} {:.0}",
        seen.nodes,
        seen.everywhere_ms,
        seen.quiet_bytes_s,
        seen.busiest_bytes_s,
        seen.bytes_per_change,
        seen.quiet_calls_s,
        seen.calls_per_change,
        seen.cpu_percent,
        seen.restart_ms,
        seen.restart_calls
    );
}

struct Quiet {
    bytes_s: f64,
    busiest_bytes_s: f64,
    calls_s: f64,
    cpu_percent: f64,
}

struct Changes {
    slowest_ms: f64,
    bytes: f64,
    calls: f64,
}

struct Restart {
    ms: f64,
    calls: f64,
}

fn merge(quiet: Quiet, changes: Changes, restart: Restart) -> Figures {
    Figures {
        nodes: 0,
        everywhere_ms: changes.slowest_ms,
        quiet_bytes_s: quiet.bytes_s,
        busiest_bytes_s: quiet.busiest_bytes_s,
        bytes_per_change: changes.bytes,
        quiet_calls_s: quiet.calls_s,
        calls_per_change: changes.calls,
        cpu_percent: quiet.cpu_percent,
        restart_ms: restart.ms,
        restart_calls: restart.calls,
    }
}

impl Fleet {
    fn start(mechanism: Mechanism, size: usize) -> Self {
        let keys = LinkKeys::derive(&["capacity".to_owned()]);
        let links = free_links(size + 1);
        let sites: Vec<Site> = (0..size)
            .map(|at| Site::new(&links[at], &format!("d{}", at % DOMAINS)))
            .collect();
        let waits = mechanism != Mechanism::Poll;
        let store = Arc::new(FakeStore::new(&links[size], waits, &keys));
        let nodes: Vec<Arc<LightNode>> = sites
            .iter()
            .map(|own| Arc::new(light_node(own, &sites, &store.link, mechanism, &keys)))
            .collect();
        let mut mailboxes = vec![FakeStore::bind(&store, &keys)];
        mailboxes.extend(nodes.iter().map(|node| LightNode::bind(node, &keys)));
        let stop = Arc::new(AtomicBool::new(false));
        for node in nodes.iter().filter(|node| node.watches) {
            node.ask_store();
        }
        let ticker = spawn_ticker(mechanism, &nodes, &stop);
        Self {
            nodes,
            store,
            stop,
            ticker: Some(ticker),
            _mailboxes: mailboxes,
        }
    }

    fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(ticker) = self.ticker.take() {
            let _ = ticker.join();
        }
    }

    fn change(&self, object: u64, generation: u64) -> u64 {
        self.store.write(JournalEntry {
            name: format!("contract/{object}"),
            generation: Generation(generation),
            value: Bytes::from(vec![b'x'; OBJECT_BYTES]),
        })
    }

    fn digest(&self) -> u64 {
        self.change(0, OBJECTS + 1)
    }

    /// Returns the milliseconds until all nodes have the digest.
    fn wait_everywhere(&self, digest: u64) -> f64 {
        let started = Instant::now();
        while self.nodes.iter().any(|node| node.digest() != digest) {
            assert!(
                started.elapsed() < HANG,
                "the change did not arrive everywhere"
            );
            std::thread::sleep(STEP);
        }
        started.elapsed().as_secs_f64() * 1000.0
    }

    fn bytes(&self) -> Vec<u64> {
        let bytes = |node: &Arc<LightNode>| node.traffic.bytes.load(Ordering::Relaxed);
        self.nodes.iter().map(bytes).collect()
    }

    fn calls(&self) -> u64 {
        self.store.calls.load(Ordering::Relaxed)
    }

    fn watch_quiet(&self) -> Quiet {
        std::thread::sleep(HEARTBEAT);
        let (bytes, calls, cpu) = (self.bytes(), self.calls(), cpu_seconds());
        std::thread::sleep(QUIET);
        let seconds = QUIET.as_secs_f64();
        let spent = grown(&bytes, &self.bytes());
        Quiet {
            bytes_s: mean(&spent) / seconds,
            busiest_bytes_s: spent.iter().copied().fold(0.0, f64::max) / seconds,
            calls_s: (self.calls() - calls) as f64 / seconds,
            cpu_percent: (cpu_seconds() - cpu) / seconds / self.nodes.len() as f64 * 100.0,
        }
    }

    fn watch_changes(&self) -> Changes {
        let mut slowest_ms: f64 = 0.0;
        let (bytes, calls) = (self.bytes(), self.calls());
        let mut digest = 0;
        for at in 0..CHANGES {
            digest = self.change(at, OBJECTS + 2 + at);
            slowest_ms = slowest_ms.max(self.wait_everywhere(digest));
        }
        std::thread::sleep(STEP * 100);
        debug_assert_ne!(digest, 0);
        Changes {
            slowest_ms,
            bytes: mean(&grown(&bytes, &self.bytes())) / CHANGES as f64,
            calls: (self.calls() - calls) as f64 / CHANGES as f64,
        }
    }

    fn watch_restart(&self) -> Restart {
        let digest = self.nodes[0].digest();
        let calls = self.calls();
        for node in self.nodes.iter().step_by(10) {
            node.restart();
        }
        Restart {
            ms: self.wait_everywhere(digest),
            calls: (self.calls() - calls) as f64,
        }
    }
}

fn light_node(
    own: &Site,
    sites: &[Site],
    store: &str,
    mechanism: Mechanism,
    keys: &LinkKeys,
) -> LightNode {
    let counts = WatcherCounts::default();
    let alone = matches!(mechanism, Mechanism::Poll | Mechanism::Watch);
    let watches = alone || is_watcher(own, sites, counts);
    let peers = if alone {
        Vec::new()
    } else {
        gossip_peers(own, sites, counts)
    };
    let neighbours = peers.into_iter().map(|site| site.name).collect();
    LightNode::new(&own.name, store, mechanism, watches, neighbours, keys)
}

/// Runs the heartbeats of all nodes, spread over the interval.
fn spawn_ticker(
    mechanism: Mechanism,
    nodes: &[Arc<LightNode>],
    stop: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let nodes = nodes.to_vec();
    let stop = stop.clone();
    let ask = if mechanism == Mechanism::Poll {
        POLL
    } else {
        WATCH
    };
    std::thread::spawn(move || {
        let started = Instant::now();
        let mut told = 0;
        let mut asked = 0;
        while !stop.load(Ordering::Relaxed) {
            let passed = started.elapsed();
            for node in due(&nodes, passed, HEARTBEAT, &mut told) {
                node.tell_neighbours();
            }
            for node in due(&nodes, passed, ask, &mut asked).filter(|node| node.watches) {
                node.ask_store();
            }
            std::thread::sleep(STEP);
        }
    })
}

/// Returns the nodes whose turn came since the last call.
fn due<'a>(
    nodes: &'a [Arc<LightNode>],
    passed: Duration,
    interval: Duration,
    done: &mut usize,
) -> impl Iterator<Item = &'a Arc<LightNode>> + use<'a> {
    let rounds = passed.as_secs_f64() / interval.as_secs_f64();
    let until = (rounds * nodes.len() as f64) as usize;
    let turns = *done..until;
    *done = until;
    turns.map(|turn| &nodes[turn % nodes.len()])
}

/// Returns addresses that are free now. They lie below the ports that the kernel gives to outgoing
/// connections, which would otherwise take them before they are bound.
fn free_links(count: usize) -> Vec<String> {
    let is_free = |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
    let free = std::iter::from_fn(|| Some(NEXT_PORT.fetch_add(1, Ordering::Relaxed)));
    let links = free
        .filter(is_free)
        .map(|port| format!("tcp://127.0.0.1:{port}"));
    links.take(count).collect()
}

fn grown(before: &[u64], after: &[u64]) -> Vec<f64> {
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| (after - before) as f64)
        .collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}
