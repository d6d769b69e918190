//! Memory of links, and processor time of the frames that cross them.

use crate::capacity_fit::{Fit, Point};
use crate::capacity_usage::{cpu_seconds, resident_kib};
use oleander_link::wire::frame::Body;
use oleander_link::wire::{Load, Report};
use oleander_link::{LinkKeys, Mailbox, Peers};
use oleanderlock::prelude::*;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Mailboxes among which the dialled peers are spread.
const MAILBOXES: usize = 10;
const ROUNDS: usize = 20;
const HANG: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(5);
/// Most links that an entry with a subset of agents holds: 60 agents and 8 peers.
const DESIGN_LINKS: f64 = 68.0;

/// Prints memory for each link and time for each frame, sender and receiver together.
pub fn run(sizes: &[usize]) {
    println!("links size KiB us/frame");
    let mut memory = Vec::new();
    let mut times = Vec::new();
    for size in sizes {
        let seen = measure(*size);
        println!("links {size} {:.1} {:.1}", seen.kib, seen.us_per_frame);
        let x = *size as f64;
        memory.push(Point { x, y: seen.kib });
        times.push(Point {
            x,
            y: seen.us_per_frame,
        });
    }
    Fit::of(&memory).print("links KiB", "links", DESIGN_LINKS);
    Fit::of(&times).print("links us/frame", "links", DESIGN_LINKS);
}

struct Seen {
    kib: f64,
    us_per_frame: f64,
}

fn measure(size: usize) -> Seen {
    let keys = LinkKeys::derive(&["capacity".to_owned()]);
    let received = Arc::new(AtomicUsize::new(0));
    let addresses: Vec<String> = (0..MAILBOXES).map(|_| free_link()).collect();
    let bind = |address: &String| {
        let received = received.clone();
        let count = move |_| {
            received.fetch_add(1, Ordering::Relaxed);
        };
        Mailbox::bind(address, keys.clone(), count).expect("a free port")
    };
    let mailboxes: Vec<Mailbox> = addresses.iter().map(bind).collect();
    let before = resident_kib();
    let senders: Vec<Peers> = (0..size)
        .map(|at| Peers::new(&format!("tcp://{at}"), Incarnation(1), keys.clone(), |_| ()))
        .collect();
    let send = |at: usize| {
        let address = &addresses[at % MAILBOXES];
        let sent = senders[at].send(address, Body::Report(report()));
        sent.expect("a place in the buffer");
    };
    (0..size).for_each(send);
    wait_for(&received, size);
    let kib = resident_kib() - before;
    let cpu = cpu_seconds();
    for round in 1..=ROUNDS {
        (0..size).for_each(send);
        wait_for(&received, size * (round + 1));
    }
    let us_per_frame = (cpu_seconds() - cpu) * 1e6 / (size * ROUNDS) as f64;
    drop(senders);
    drop(mailboxes);
    Seen { kib, us_per_frame }
}

fn report() -> Report {
    Report {
        load: Some(Load::default()),
        domain: "bkk-lat-krabang".to_owned(),
        targets: vec!["planting-advice-large".to_owned()],
        ..Report::default()
    }
}

fn wait_for(received: &AtomicUsize, count: usize) {
    let started = Instant::now();
    while received.load(Ordering::Relaxed) < count {
        assert!(started.elapsed() < HANG, "frames are missing");
        std::thread::sleep(STEP);
    }
}

fn free_link() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    format!("tcp://{}", listener.local_addr().expect("an address"))
}
