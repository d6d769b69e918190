//! Processor time and memory of the decision parts, and sizes of the control messages.

use crate::capacity_fit::{Fit, Point};
use crate::capacity_usage::{cpu_seconds, resident_kib};
use bytes::Bytes;
use oleander_link::LinkKeys;
use oleander_link::wire::frame::Body;
use oleander_link::wire::{Frame, Hello, JournalDigest, Load, Report};
use oleanderlock::config_journal::ConfigJournal;
use oleanderlock::journal_messages::JournalEntry;
use oleanderlock::member_listing::MemberListing;
use oleanderlock::membership::Membership;
use oleanderlock::membership_config::MembershipConfig;
use oleanderlock::prelude::*;

/// Copies of a part that are held at once, so that their memory stands out.
const COPIES: usize = 64;
const OBJECT_BYTES: usize = 2048;
const SECONDS: u64 = 120;
const TICK_MS: u64 = 500;

/// Prints message sizes, and cost and memory of the parts for each size.
pub fn run(sizes: &[usize]) {
    print_messages();
    println!("part size cpu_% KiB");
    print_part("membership", "instances", sizes, 1220.0, membership);
    let objects: Vec<usize> = sizes.iter().map(|size| size / 10 + 1).collect();
    print_part("journal", "objects", &objects, 50.0, journal);
}

fn print_messages() {
    let keys = LinkKeys::derive(&["capacity".to_owned()]);
    let size = |name: &str, body: Body| {
        let frame = Frame {
            from: "tcp://10.117.203.114:17001".to_owned(),
            incarnation: u64::MAX,
            body: Some(body),
        };
        println!("message {name} {} bytes sealed", keys.seal(&frame).len());
    };
    let load = Load {
        running: 900,
        queued: 900,
        capacity: 900,
        wait_ms: 90_000,
    };
    let report = Report {
        state: 1,
        load: Some(load),
        domain: "bkk-lat-krabang".to_owned(),
        targets: vec!["planting-advice-large".to_owned(); 2],
        version: 1 << 40,
        version_unknown: true,
        config: Some(JournalDigest {
            epoch: u64::MAX,
            offset: u64::MAX,
            digest: u64::MAX,
        }),
        name: "agent-bkk-lat-krabang-0123".to_owned(),
        clock_ms: 1 << 40,
        loading: 1 << 40,
    };
    size("report", Body::Report(report));
    let hello = Hello {
        domain: "bkk-lat-krabang".to_owned(),
        config: Some(JournalDigest {
            epoch: u64::MAX,
            offset: u64::MAX,
            digest: u64::MAX,
        }),
    };
    size("hello", Body::Hello(hello));
    let digest = JournalDigest {
        epoch: u64::MAX,
        offset: 1 << 40,
        digest: u64::MAX,
    };
    size("journal-digest", Body::JournalDigest(digest));
}

/// Cost of one part in percent of a core; the part itself is returned to be held.
struct Run<T> {
    part: T,
    cpu_percent: f64,
}

fn print_part<T>(
    name: &str,
    variable: &str,
    sizes: &[usize],
    design: f64,
    run: fn(usize) -> Run<T>,
) {
    let mut costs = Vec::new();
    let mut memory = Vec::new();
    for size in sizes {
        let before = resident_kib();
        let runs: Vec<Run<T>> = (0..COPIES).map(|_| run(*size)).collect();
        let kib = (resident_kib() - before) / COPIES as f64;
        let cpu = runs.iter().map(|run| run.cpu_percent).sum::<f64>() / COPIES as f64;
        println!("{name} {size} {cpu:.4} {kib:.1}");
        let x = *size as f64;
        costs.push(Point { x, y: cpu });
        memory.push(Point { x, y: kib });
        // Held up to here, so that the next size starts on fresh pages.
        std::mem::forget(runs.into_iter().map(|run| run.part).collect::<Vec<T>>());
    }
    Fit::of(&costs).print(&format!("{name} cpu_%"), variable, design);
    Fit::of(&memory).print(&format!("{name} KiB"), variable, design);
}

/// Every instance is heard once a second and the list comes every five seconds.
fn membership(size: usize) -> Run<Membership> {
    let names: Vec<String> = (0..size).map(|at| format!("instance-{at:05}")).collect();
    let row = |name: &String| MemberListing {
        name: name.clone(),
        domain: "bkk-lat-krabang".to_owned(),
        leaving: false,
    };
    let list: Vec<MemberListing> = names.iter().map(row).collect();
    let mut view = Membership::new(MembershipConfig::default());
    let started = cpu_seconds();
    for now in (0..SECONDS * 1000).step_by(TICK_MS as usize) {
        if now % 5000 == 0 {
            view.on_list(Millis(now), &list);
        }
        if now % 1000 == 0 {
            for name in &names {
                view.on_message(Millis(now), name, Incarnation(1));
            }
        }
        view.tick(Millis(now), 0);
    }
    Run {
        part: view,
        cpu_percent: (cpu_seconds() - started) / SECONDS as f64 * 100.0,
    }
}

/// One change a second, and four digests a second to compare.
fn journal(size: usize) -> Run<ConfigJournal> {
    let mut journal = ConfigJournal::new(Incarnation(1));
    let entry = |at: usize, generation: u64| JournalEntry {
        name: format!("config/contracts/customer-{at}"),
        generation: Generation(generation),
        value: Bytes::from(vec![b'x'; OBJECT_BYTES]),
    };
    for at in 0..size {
        journal.apply(entry(at, 1));
    }
    let started = cpu_seconds();
    for second in 0..SECONDS {
        journal.apply(entry(second as usize % size, second + 2));
        for peer in ["a", "b", "c", "d"] {
            let digest = journal.digest();
            journal.on_digest(Millis::from_secs(second), peer, digest);
        }
    }
    Run {
        part: journal,
        cpu_percent: (cpu_seconds() - started) / SECONDS as f64 * 100.0,
    }
}
