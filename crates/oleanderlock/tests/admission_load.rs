//! Admission under simulated load: shares, lending of unused shares, reserved slots, and goodput
//! beyond saturation.

mod common;

use common::{Driver, Record, Stream};
use oleanderlock::admission_config::AdmissionConfig;
use oleanderlock::prelude::*;

/// Time for one token in one slot, in microseconds.
const TOKEN_US: u64 = 2_000;
/// Slots of the endpoint.
const CAPACITY: usize = 16;
/// Tokens that the endpoint serves in a second with all slots in use.
const RATE: u64 = CAPACITY as u64 * 1_000_000 / TOKEN_US;

/// Returns a stream of samples that needs `load` times the capacity of the endpoint.
fn samples(class: &'static str, share_percent: u32, load: f64) -> Stream {
    Stream {
        class,
        kind: WorkKind::Samples,
        priority: 1,
        share_percent,
        latency_bound: 600_000,
        deadline: 600_000,
        every_us: (100.0 * 1e6 / (RATE as f64 * load)) as u64,
        tokens: (50, 150),
        claim: None,
        from: 0,
        until: u64::MAX,
    }
}

/// Returns a stream of interactive requests that needs `load` times the capacity of the endpoint.
fn interactive(class: &'static str, share_percent: u32, load: f64) -> Stream {
    Stream {
        kind: WorkKind::Interactive,
        priority: 10,
        latency_bound: 1_000,
        deadline: 2_000,
        ..samples(class, share_percent, load)
    }
}

fn driver(streams: &[Stream], seed: u64) -> Driver {
    Driver::new(
        AdmissionConfig::for_capacity(CAPACITY),
        streams,
        TOKEN_US,
        seed,
    )
}

/// Returns the percentage of the tokens started between two times that belong to `class`.
fn share(driver: &Driver, classes: &[Stream], class: &str, from: u64, until: u64) -> f64 {
    let all: u64 = classes
        .iter()
        .map(|it| driver.served(it.class, from, until))
        .sum();
    driver.served(class, from, until) as f64 * 100.0 / all as f64
}

#[test]
fn shares_hold_over_ten_seconds_of_contention() {
    for seed in 0..8 {
        let mut streams = [
            samples("a", 20, 2.0),
            samples("b", 30, 2.0),
            samples("c", 50, 2.0),
        ];
        streams[0].priority = 9;
        streams[0].tokens = (5, 15);
        streams[0].every_us /= 10;
        let mut driver = driver(&streams, seed);
        driver.run(40_000);
        for from in [5_000, 15_000, 25_000] {
            for stream in &streams {
                let got = share(&driver, &streams, stream.class, from, from + 10_000);
                let want = f64::from(stream.share_percent);
                assert!(
                    (got - want).abs() <= 5.0,
                    "seed {seed} {} {got} {want}",
                    stream.class
                );
            }
        }
    }
}

#[test]
fn shares_charge_actual_tokens_not_claimed_ones() {
    for seed in 0..8 {
        let mut streams = [samples("exact", 50, 2.0), samples("overclaimed", 50, 2.0)];
        streams[1].claim = Some(600);
        let mut driver = driver(&streams, seed);
        driver.run(30_000);
        for from in [5_000, 15_000] {
            let got = share(&driver, &streams, "exact", from, from + 10_000);
            assert!((got - 50.0).abs() <= 5.0, "seed {seed} {got}");
        }
    }
}

#[test]
fn lent_shares_return_within_two_service_times() {
    /// When the lender's stream starts, in milliseconds.
    const BACK: u64 = 10_000;
    for seed in 0..8 {
        let mut streams = [samples("lender", 60, 2.0), samples("borrower", 40, 4.0)];
        streams[0].from = BACK;
        let mut driver = driver(&streams, seed);
        driver.run(BACK + 10_000);
        let lent = driver.served("borrower", 2_000, BACK);
        assert!(
            lent * 100 >= RATE * (BACK - 2_000) / 1000 * 95,
            "seed {seed} lent {lent}"
        );
        let longest = 150 * TOKEN_US / 1000;
        let back = BACK + 2 * longest;
        let got = share(&driver, &streams, "lender", back, back + 2_000);
        assert!((got - 60.0).abs() <= 5.0, "seed {seed} {got}");
    }
}

#[test]
fn interactive_work_meets_its_bound_under_sample_overload() {
    /// Latency bound of interactive work, in milliseconds.
    const BOUND: u64 = 500;
    for seed in 0..8 {
        let mut streams = [interactive("desk", 40, 0.3), samples("train", 60, 3.0)];
        streams[0].latency_bound = BOUND;
        let mut driver = driver(&streams, seed);
        driver.run(30_000);
        let desk: Vec<&Record> = driver
            .records
            .values()
            .filter(|it| it.class == "desk" && it.arrived < 28_000)
            .collect();
        let is_kept = |it: &&&Record| it.ended.is_some_and(|at| at <= it.arrived + BOUND);
        let missed = desk.len() - desk.iter().filter(is_kept).count();
        assert!(
            missed * 100 <= desk.len(),
            "seed {seed}: {missed} of {}",
            desk.len()
        );
        let busy = driver.served("desk", 2_000, 28_000) + driver.served("train", 2_000, 28_000);
        assert!(busy * 100 >= RATE * 26 * 90, "seed {seed} busy {busy}");
    }
}

#[test]
fn reserved_slots_serve_interactive_work_and_are_lent_otherwise() {
    /// When interactive work starts to arrive, in milliseconds.
    const QUIET: u64 = 20_000;
    for seed in 0..8 {
        let mut streams = [interactive("desk", 40, 0.05), samples("train", 60, 3.0)];
        streams[0].from = QUIET;
        streams[1].tokens = (2_000, 4_000);
        streams[1].every_us *= 30;
        let mut driver = driver(&streams, seed);
        driver.run(QUIET - 1);
        assert_eq!(
            driver.admission.load(Millis(QUIET)).running as usize,
            CAPACITY
        );
        driver.run(60_000);
        let p99 = driver.latency("desk", 30_000, 58_000, 0.99);
        assert!(p99 <= streams[0].latency_bound, "seed {seed} p99 {p99}");
    }
}

#[test]
fn goodput_is_flat_beyond_saturation() {
    for (seed, claim) in [(0, None), (1, None), (2, Some(150)), (3, Some(150))] {
        let goodput = |load: f64| {
            let mut streams = [
                interactive("desk", 50, load / 2.0),
                interactive("board", 50, load / 2.0),
            ];
            streams[1].claim = claim;
            let mut driver = driver(&streams, seed);
            driver.run(30_000);
            driver.goodput(2_000, 28_000)
        };
        let best = [0.9, 1.0, 1.1]
            .map(goodput)
            .into_iter()
            .max()
            .expect("three loads");
        for load in [2.0, 5.0] {
            let got = goodput(load);
            println!(
                "figure goodput seed={seed} load={load} percent={}",
                got * 100 / best
            );
            assert!(
                got * 100 >= best * 90,
                "seed {seed} load {load}: {got} of {best}"
            );
        }
    }
}

#[test]
fn accepted_work_meets_its_bound_and_the_rest_is_refused_early() {
    for seed in 0..4 {
        for load in [2.0, 5.0] {
            let streams = [
                interactive("desk", 60, load / 2.0),
                samples("train", 40, load / 2.0),
            ];
            let mut driver = driver(&streams, seed);
            driver.run(30_000);
            let p99 = driver.latency("desk", 2_000, 28_000, 0.99);
            println!("figure accepted seed={seed} load={load} p99={p99}");
            assert!(p99 <= 1_000, "seed {seed} load {load} p99 {p99}");
            let desk = driver
                .records
                .values()
                .filter(|it| it.class == "desk" && it.arrived >= 2_000);
            let refused = desk.filter_map(|it| Some((it.arrived, it.refused?)));
            let waits: Vec<u64> = refused.map(|(arrived, (at, _))| at - arrived).collect();
            let late = waits.iter().filter(|wait| **wait > 100).count();
            assert!(
                late * 100 <= waits.len(),
                "seed {seed} load {load}: {late} of {}",
                waits.len()
            );
        }
    }
}
