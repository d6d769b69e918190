//! Prints what keys cost an entry, by the number of keys in the configuration: for each request,
//! in nanoseconds, and for each new set of keys, in microseconds, as the longest of several.
//!
//! A new set reaches an entry as a message of the leader, which is decoded (`set-decode`), or as an
//! object of the store, whose keys become digests (`set-digest`); then the table is built
//! (`set-build`) and the previous one is dropped (`set-drop`).
//!
//! `cargo run --release -p oleanderlock --example key_cost`

use oleanderlock::workspaces::key_digest::KeyDigest;
use oleanderlock::workspaces::key_table::KeyTable;
use oleanderlock::workspaces::workspace::Workspace;
use std::hint::black_box;
use std::time::Instant;

/// Keys in the configuration.
const SIZES: [usize; 3] = [100, 1000, 10_000];
/// Keys of each workspace.
const KEYS_PER_WORKSPACE: usize = 130;
/// Requests over which a cost is averaged.
const REQUESTS: usize = 200_000;
/// New sets of which the longest time is taken.
const SETS: usize = 50;

fn main() {
    for size in SIZES {
        let keys: Vec<String> = (0..size).map(|n| format!("key-{n:032x}")).collect();
        let workspaces = workspaces(&keys);
        request_costs(size, &keys, &workspaces);
        set_costs(size, &keys, &workspaces);
    }
}

fn workspaces(keys: &[String]) -> Vec<Workspace> {
    let chunks = keys.chunks(KEYS_PER_WORKSPACE).enumerate();
    let workspaces = chunks.map(|(number, keys)| Workspace {
        name: format!("workspace-{number}"),
        keys: digests(keys),
        rank: None,
    });
    workspaces.collect()
}

fn digests(keys: &[String]) -> Vec<KeyDigest> {
    keys.iter()
        .map(|key| KeyDigest::of(key.as_bytes()))
        .collect()
}

fn request_costs(size: usize, keys: &[String], workspaces: &[Workspace]) {
    let table = KeyTable::new(workspaces);
    let mean = |check: &dyn Fn(usize) -> bool| {
        let began = Instant::now();
        for number in 0..REQUESTS {
            black_box(check(number));
        }
        began.elapsed().as_nanos() as f64 / REQUESTS as f64
    };
    let known = mean(&|number| {
        let key = &keys[number * 7919 % keys.len()];
        table.find(&KeyDigest::of(key.as_bytes())).is_some()
    });
    let unknown = mean(&|number| {
        let key = number.to_le_bytes();
        table.find(&KeyDigest::of(&key)).is_some()
    });
    print("request-known", size, known, "ns");
    print("request-unknown", size, unknown, "ns");
}

fn set_costs(size: usize, keys: &[String], workspaces: &[Workspace]) {
    let message = serde_json::to_vec(workspaces).unwrap_or_default();
    let decode = longest(|| serde_json::from_slice::<Vec<Workspace>>(&message).ok());
    print("set-decode", size, decode, "us");
    print("set-digest", size, longest(|| digests(keys)), "us");
    print(
        "set-build",
        size,
        longest(|| KeyTable::new(workspaces)),
        "us",
    );
    let mut tables: Vec<KeyTable> = (0..SETS).map(|_| KeyTable::new(workspaces)).collect();
    print("set-drop", size, longest(|| drop(tables.pop())), "us");
}

/// Returns the longest time of [`SETS`] calls, in microseconds.
fn longest<T>(mut call: impl FnMut() -> T) -> f64 {
    let times = (0..SETS).map(|_| {
        let began = Instant::now();
        let made = black_box(call());
        let took = began.elapsed();
        drop(made);
        took.as_nanos() as f64 / 1000.0
    });
    times.fold(0.0, f64::max)
}

fn print(what: &str, size: usize, value: f64, unit: &str) {
    println!("cost what={what} keys={size} value={value:.0} unit={unit}");
}
