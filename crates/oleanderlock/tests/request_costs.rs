//! Measures the cost of the parts of the request protocol and prints it; checks nothing.
//!
//! `cargo test --release -p oleanderlock --test request_costs -- --ignored --nocapture --test-threads=1`

use oleanderlock::attempt_ledger::{AttemptLedger, LedgerLimits};
use oleanderlock::issued_key::{IssuedKey, KeySecrets};
use oleanderlock::key_binder::{BindAction, BindCall, BinderLimits, KeyBinder};
use oleanderlock::key_binding::{BindingTable, KeyBinding, KeyHash};
use oleanderlock::preferred_writer::preferred_writer;
use oleanderlock::prelude::*;
use oleanderlock::request_outcome::Outcome;
use oleanderlock::store_answer::{ReadAnswer, WriteAnswer};
use oleanderlock::submission::Submission;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

/// Number of repetitions of each measurement.
const RECORDS: u64 = 200_000;

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

fn submission(id: u64) -> Submission {
    Submission {
        ticket: Ticket {
            request: RequestId(u128::from(id) << 64 | u128::from(id)),
            attempt: 0,
            incarnation: Incarnation(1),
        },
        idempotent: false,
        deadline: Millis(600_000),
        horizon: Millis(600_000 + id % 1000),
        fingerprint: id,
    }
}

#[test]
#[ignore = "prints figures"]
fn ledger_costs() {
    let limits = LedgerLimits {
        capacity: usize::MAX,
        ..LedgerLimits::default()
    };
    let mut ledger = AttemptLedger::new(Incarnation(1), limits);
    let before = resident_bytes();
    let since = Instant::now();
    for id in 0..RECORDS {
        let submission = submission(id);
        ledger.submit(Millis(1), &submission);
        let _ = ledger.start(Millis(1), submission.ticket, false);
        let done = Outcome::failed(ErrorKind::EndpointFailed, Ran::Unknown);
        ledger.finish(submission.ticket, false, done);
    }
    let spent = since.elapsed();
    let held = resident_bytes().saturating_sub(before);
    println!("ledger: {} bytes a record", held / RECORDS);
    println!("ledger: {} ns a request", spent.as_nanos() as u64 / RECORDS);
}

#[test]
#[ignore = "prints figures"]
fn issued_key_costs() {
    let secrets = KeySecrets::new(b"secret", &[]);
    let key = IssuedKey {
        target: "order-desk".into(),
        agent: "wdh-a-agent-17".into(),
        incarnation: Incarnation(u64::MAX),
        expires: Millis(600_000),
        nonce: u128::MAX,
    };
    let text = secrets.issue(&key).expect("the names in the key are valid");
    let since = Instant::now();
    for _ in 0..RECORDS {
        let read = secrets.verify(&text).expect("the key is valid");
        std::hint::black_box(read.request_id());
    }
    let spent = since.elapsed().as_nanos() as u64 / RECORDS;
    println!(
        "issued key: {} characters, {spent} ns to verify",
        text.len()
    );
}

fn binding() -> KeyBinding {
    KeyBinding {
        agent: "wdh-a-agent-17".into(),
        incarnation: Incarnation(u64::MAX),
        horizon: Millis(1 << 32),
        fingerprint: u64::MAX,
        expires: Millis(1 << 40),
    }
}

#[test]
#[ignore = "prints figures"]
fn binding_size() {
    let mut table = BindingTable::default();
    for id in 0..4000u128 {
        table.insert(KeyHash(u128::MAX - id), binding());
    }
    let value = table.to_value();
    println!(
        "bindings: {} bytes each in the object",
        value.len() / table.len()
    );
    println!("bindings: {} bytes for {}", value.len(), table.len());
}

/// Counts of one simulation of calls with keys.
#[derive(Default)]
struct Counts {
    reads: u64,
    writes: u64,
    conflicts: u64,
    written_bytes: u64,
    bound: u64,
    /// Total wait of the bound calls, in milliseconds.
    waited: u64,
}

/// Entries that bind keys chosen by callers in a simulated store.
struct Simulation {
    binders: Vec<KeyBinder>,
    /// Version and value of the objects, by bucket.
    objects: BTreeMap<u32, (u64, String)>,
    /// Store calls in flight: time of the answer in milliseconds, entry and call.
    calls: VecDeque<(u64, usize, BindAction)>,
    /// Arrival time of each call, in milliseconds.
    arrived: Vec<u64>,
    counts: Counts,
}

impl Simulation {
    /// Handles the actions of an entry's binder.
    fn handle(&mut self, now: u64, store_ms: u64, entry: usize, actions: Vec<BindAction>) {
        for action in actions {
            match action {
                BindAction::Bound { call, .. } => {
                    self.counts.bound += 1;
                    self.counts.waited += now - self.arrived[call as usize];
                }
                BindAction::Refuse { kind, .. } => panic!("refused: {kind}"),
                action => self.calls.push_back((now + store_ms, entry, action)),
            }
        }
    }

    /// Carries out a store call and passes its answer to the entry's binder.
    fn serve(&mut self, entry: usize, action: BindAction) -> Vec<BindAction> {
        match action {
            BindAction::Read(bucket) => {
                self.counts.reads += 1;
                let object = self.objects.get(&bucket).cloned();
                let answer = object.map_or(ReadAnswer::Missing, |(version, value)| {
                    ReadAnswer::Object { version, value }
                });
                self.binders[entry].on_read(Millis::ZERO, bucket, answer)
            }
            BindAction::Write {
                bucket,
                base,
                value,
            } => {
                self.counts.writes += 1;
                self.counts.written_bytes += value.len() as u64;
                let current = self.objects.get(&bucket).map_or(0, |object| object.0);
                let matches = base == Some(current);
                let answer = match matches {
                    true => WriteAnswer::Written(current + 1),
                    false => WriteAnswer::Conflict,
                };
                if matches {
                    self.objects.insert(bucket, (current + 1, value));
                }
                self.counts.conflicts += u64::from(!matches);
                self.binders[entry].on_written(Millis::ZERO, bucket, answer)
            }
            _ => Vec::new(),
        }
    }
}

/// Simulates `rate` calls a second with a store that answers after `store_ms`. With `to_preferred` each
/// call arrives at the preferred writer of its bucket, otherwise at an arbitrary entry.
fn simulate(entries: usize, buckets: u32, rate: u64, store_ms: u64, to_preferred: bool) {
    /// Simulated time.
    const SECONDS: u64 = 20;
    let limits = BinderLimits {
        buckets,
        ..BinderLimits::default()
    };
    let ids: Vec<_> = (0..entries as u64).map(Incarnation).collect();
    let mut sim = Simulation {
        binders: vec![KeyBinder::new(limits); entries],
        objects: BTreeMap::new(),
        calls: VecDeque::new(),
        arrived: Vec::new(),
        counts: Counts::default(),
    };
    for now in 0..SECONDS * 1000 {
        while sim.calls.front().is_some_and(|call| call.0 <= now) {
            let (_, entry, action) = sim.calls.pop_front().expect("the front was checked");
            let actions = sim.serve(entry, action);
            sim.handle(now, store_ms, entry, actions);
        }
        let due = (now + 1) * rate / 1000;
        while (sim.arrived.len() as u64) < due {
            let call = sim.arrived.len() as u64;
            let key = KeyHash::of("kalahari", "order-desk", &call.to_string());
            let entry = match to_preferred {
                true => preferred_writer(key.bucket(buckets), &ids).map_or(0, |id| id.0 as usize),
                false => (call.wrapping_mul(0x9e37_79b9) >> 7) as usize % entries,
            };
            sim.arrived.push(now);
            let bind = BindCall {
                call,
                key,
                proposal: binding(),
                deadline: Millis::MAX,
                first_call: false,
            };
            let actions = sim.binders[entry].bind(Millis::ZERO, bind);
            sim.handle(now, store_ms, entry, actions);
        }
    }
    let counts = sim.counts;
    println!(
        "{entries} entries, {buckets} buckets, {rate} keyed/s, store {store_ms} ms, preferred writers {to_preferred}: \
         {} writes/s ({} conflicts/s), {} reads/s, {} kB/s written, {} ms to bind, {} bound of {}",
        counts.writes / SECONDS,
        counts.conflicts / SECONDS,
        counts.reads / SECONDS,
        counts.written_bytes / SECONDS / 1000,
        counts.waited / counts.bound.max(1),
        counts.bound,
        sim.arrived.len()
    );
}

#[test]
#[ignore = "prints figures"]
fn binding_writes() {
    simulate(4, 32, 4, 5, false);
    simulate(4, 32, 40, 5, false);
    simulate(350, 32, 380, 5, false);
    simulate(350, 32, 380, 5, true);
    simulate(350, 32, 380, 430, true);
    simulate(350, 4, 380, 50, true);
}
