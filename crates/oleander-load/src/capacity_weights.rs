//! How long new weights take to reach all workers, with the real planner before fake engines.

use crate::capacity_fit::{Fit, Point};
use oleanderlock::loaded_version::LoadedVersion;
use oleanderlock::prelude::*;
use oleanderlock::rollout_config::RolloutConfig;
use oleanderlock::rollout_estimate::RolloutEstimate;
use oleanderlock::weight_planner::WeightPlanner;
use oleanderlock::weight_report::WeightReport;
use std::time::Instant;

const MODELS: usize = 9;
const DESIGN_WORKERS: f64 = 870.0;
/// Loads that the weight store could complete in a second if nothing else took time.
const LOADS_PER_SECOND: u64 = 100;
const SWAP_MS: u64 = 2000;
/// Time between two reports of a worker, and between two looks of the planner.
const TURN_MS: u64 = 500;
const STEP_MS: u64 = 10;
const TARGET: Millis = Millis::from_secs(28);
const MOST_MS: u64 = 600_000;

/// A fake engine.
struct Engine {
    model: String,
    name: String,
    loaded: u64,
    phase: Phase,
}

#[derive(Clone, Copy)]
enum Phase {
    Idle,
    /// Part of the load that is left, in millionths.
    Loading(u64),
    Swapping(u64),
}

/// Prints simulated time and planner cost for each size.
pub fn run(sizes: &[usize]) {
    println!(
        "weights workers simulated_ms formula_ms planner_cpu_%  (loads/s {LOADS_PER_SECOND}, swap {SWAP_MS} ms, turn {TURN_MS} ms)"
    );
    let mut times = Vec::new();
    let mut costs = Vec::new();
    for workers in sizes {
        let x = *workers as f64;
        let seen = simulate(*workers);
        let formula = load(*workers as u64).time();
        println!(
            "weights {workers} {} {} {:.3}",
            seen.time_ms, formula.0, seen.planner_percent
        );
        times.push(Point {
            x,
            y: seen.time_ms as f64,
        });
        costs.push(Point {
            x,
            y: seen.planner_percent,
        });
    }
    Fit::of(&times).print("weights simulated_ms", "workers", DESIGN_WORKERS);
    Fit::of(&costs).print("weights planner_cpu_%", "workers", DESIGN_WORKERS);
    let rate = load(DESIGN_WORKERS as u64).rate_for(TARGET);
    println!("weights loads/s that 28 s need at 870 workers: {rate:?}");
}

fn load(workers: u64) -> RolloutEstimate {
    RolloutEstimate {
        workers,
        bytes_per_worker: 1,
        store_bytes_per_second: LOADS_PER_SECOND,
        max_out_percent: RolloutConfig::default().max_out_percent.into(),
        swap_time: Millis(SWAP_MS),
        turnaround: Millis(TURN_MS),
    }
}

struct Simulated {
    time_ms: u64,
    planner_percent: f64,
}

fn simulate(workers: usize) -> Simulated {
    let mut planner = WeightPlanner::new(RolloutConfig::default());
    let mut engines: Vec<Engine> = (0..workers).map(engine).collect();
    for model in 0..MODELS {
        planner.publish(&format!("m{model}"), Version(2), Fence(1));
    }
    let mut spent = 0.0;
    let mut now = 0;
    while engines.iter().any(|engine| engine.loaded < 2) {
        assert!(now < MOST_MS, "the rollout does not end");
        if now % TURN_MS == 0 {
            let started = Instant::now();
            turn(&mut planner, &mut engines, now);
            spent += started.elapsed().as_secs_f64();
        }
        now += STEP_MS;
        advance(&mut engines);
    }
    Simulated {
        time_ms: now,
        planner_percent: spent * 100_000.0 / now as f64,
    }
}

fn engine(at: usize) -> Engine {
    Engine {
        model: format!("m{}", at % MODELS),
        name: format!("w{at}"),
        loaded: 1,
        phase: Phase::Idle,
    }
}

fn turn(planner: &mut WeightPlanner, engines: &mut [Engine], now: u64) {
    for engine in engines.iter() {
        let idle = matches!(engine.phase, Phase::Idle);
        let report = WeightReport {
            loaded: LoadedVersion::Known(Version(engine.loaded)),
            loading: (!idle).then_some(Version(2)),
        };
        planner.on_report(Millis(now), &engine.model, &engine.name, report);
    }
    for order in planner.tick(Millis(now)) {
        let at: usize = order.worker[1..].parse().expect("the name of a worker");
        if matches!(engines[at].phase, Phase::Idle) {
            engines[at].phase = Phase::Loading(1_000_000);
        }
    }
}

/// Moves loads, which share the store's rate, and swaps by one step.
fn advance(engines: &mut [Engine]) {
    let loading = |engine: &&Engine| matches!(engine.phase, Phase::Loading(_));
    let active = engines.iter().filter(loading).count().max(1) as u64;
    let moved = LOADS_PER_SECOND * STEP_MS * 1000 / active;
    for engine in engines {
        engine.phase = match engine.phase {
            Phase::Idle => Phase::Idle,
            Phase::Loading(left) if left > moved => Phase::Loading(left - moved),
            Phase::Loading(_) => Phase::Swapping(SWAP_MS),
            Phase::Swapping(left) if left > STEP_MS => Phase::Swapping(left - STEP_MS),
            Phase::Swapping(_) => {
                engine.loaded = 2;
                Phase::Idle
            }
        };
    }
}
