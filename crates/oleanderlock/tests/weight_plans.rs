//! Weight rollouts: every model stays in service, and every worker gets the newest version.

use arbtest::arbtest;
use oleanderlock::load_order::LoadOrder;
use oleanderlock::loaded_version::LoadedVersion;
use oleanderlock::prelude::*;
use oleanderlock::rollout_config::RolloutConfig;
use oleanderlock::rollout_estimate::RolloutEstimate;
use oleanderlock::weight_planner::WeightPlanner;
use oleanderlock::weight_report::WeightReport;
use std::collections::BTreeMap;

const SEEDS: std::ops::Range<u64> = 1..101;
const TICK_MS: u64 = 200;
const SWAP_MS: u64 = 2000;
const MODEL: &str = "advisor";

fn idle(loaded: LoadedVersion) -> WeightReport {
    let loading = None;
    WeightReport { loaded, loading }
}

/// A fake engine, which refuses old fencing numbers and takes [`SWAP_MS`] to swap.
#[derive(Clone, Debug)]
struct Engine {
    version: Option<u64>,
    fence: u64,
    swap: Option<Swap>,
    fail_swaps: u32,
}

#[derive(Clone, Copy, Debug)]
struct Swap {
    to: u64,
    ends: u64,
}

struct Fleet {
    planner: WeightPlanner,
    engines: BTreeMap<String, Engine>,
    now: u64,
    most_out: usize,
    swaps: usize,
}

impl Fleet {
    fn new(workers: usize, cfg: RolloutConfig) -> Self {
        let engine = Engine {
            version: Some(1),
            fence: 0,
            swap: None,
            fail_swaps: 0,
        };
        let engines = (0..workers).map(|index| (format!("w{index}"), engine.clone()));
        let mut fleet = Self {
            planner: WeightPlanner::new(cfg),
            engines: engines.collect(),
            now: 0,
            most_out: 0,
            swaps: 0,
        };
        fleet.report();
        fleet
    }

    fn report(&mut self) {
        for (name, engine) in &self.engines {
            let loaded = engine.version.map_or(LoadedVersion::Unknown, |version| {
                LoadedVersion::Known(Version(version))
            });
            let loading = engine.swap.map(|swap| Version(swap.to));
            let report = WeightReport { loaded, loading };
            self.planner
                .on_report(Millis(self.now), MODEL, name, report);
        }
    }

    fn take(&mut self, order: &LoadOrder) {
        let engine = self
            .engines
            .get_mut(&order.worker)
            .expect("the worker has an engine");
        let swapping = engine.swap.is_some_and(|swap| swap.to == order.version.0);
        if order.fence.0 < engine.fence || swapping {
            return;
        }
        engine.fence = order.fence.0;
        let ends = self.now + SWAP_MS;
        let to = order.version.0;
        engine.swap = Some(Swap { to, ends });
        self.swaps += 1;
    }

    fn tick(&mut self) {
        self.now += TICK_MS;
        for engine in self.engines.values_mut() {
            engine.advance(self.now);
        }
        self.report();
        for order in self.planner.tick(Millis(self.now)) {
            self.take(&order);
        }
        let out = |engine: &&Engine| engine.swap.is_some() || engine.version.is_none();
        self.most_out = self.most_out.max(self.engines.values().filter(out).count());
    }

    /// Returns the time until all engines serve `version`.
    fn run_until(&mut self, version: u64) -> u64 {
        let started = self.now;
        for _ in 0..5000 {
            self.tick();
            if self
                .engines
                .values()
                .all(|engine| engine.version == Some(version))
            {
                return self.now - started;
            }
        }
        panic!(
            "version {version} did not reach all workers: {:?}",
            self.planner.progress(MODEL)
        );
    }
}

impl Engine {
    /// Ends a swap whose time is over. An engine with an unknown version determines it one tick
    /// later.
    fn advance(&mut self, now: u64) {
        if self.version.is_none() {
            self.version = Some(1);
        }
        let Some(swap) = self.swap else {
            return;
        };
        if swap.ends > now {
            return;
        }
        self.swap = None;
        if self.fail_swaps > 0 {
            self.fail_swaps -= 1;
            self.version = None;
            return;
        }
        self.version = Some(swap.to);
    }
}

#[test]
fn rollout_keeps_most_workers_in_service() {
    for workers in [1, 3, 9, 97, 200] {
        let mut fleet = Fleet::new(workers, RolloutConfig::default());
        fleet.planner.publish(MODEL, Version(2), Fence(10));
        fleet.run_until(2);
        assert!(
            fleet.most_out <= (workers / 4).max(1),
            "{workers}: {}",
            fleet.most_out
        );
        assert_eq!(fleet.swaps, workers);
        let progress = fleet.planner.progress(MODEL);
        assert_eq!((progress.done, progress.loading), (workers, 0));
    }
}

#[test]
fn concurrent_loads_are_limited_over_all_models() {
    let cfg = RolloutConfig {
        max_concurrent_loads: 5,
        ..RolloutConfig::default()
    };
    let mut planner = WeightPlanner::new(cfg);
    for model in ["a", "b", "c"] {
        for index in 0..40 {
            let loaded = LoadedVersion::Known(Version(1));
            planner.on_report(Millis(0), model, &format!("{model}{index}"), idle(loaded));
        }
        planner.publish(model, Version(2), Fence(1));
    }
    assert_eq!(planner.tick(Millis(0)).len(), 5);
    assert_eq!(planner.tick(Millis(1)).len(), 0);
}

#[test]
fn new_planner_continues_with_the_same_workers() {
    let mut fleet = Fleet::new(80, RolloutConfig::default());
    fleet.planner.publish(MODEL, Version(2), Fence(10));
    for _ in 0..12 {
        fleet.tick();
    }
    // The new planner knows only the publication and what workers report.
    fleet.planner = WeightPlanner::new(RolloutConfig::default());
    fleet.planner.publish(MODEL, Version(2), Fence(10));
    fleet.report();
    fleet.run_until(2);
    assert!(fleet.most_out <= 20, "{}", fleet.most_out);
    assert_eq!(fleet.swaps, 80);
}

#[test]
fn newer_version_replaces_the_one_being_rolled_out() {
    let mut fleet = Fleet::new(40, RolloutConfig::default());
    fleet.planner.publish(MODEL, Version(2), Fence(10));
    fleet.tick();
    fleet.planner.publish(MODEL, Version(3), Fence(11));
    fleet.planner.publish(MODEL, Version(2), Fence(10));
    fleet.run_until(3);
    // Only the first window ever loaded version 2.
    assert_eq!(fleet.swaps, 50);
    assert!(fleet.most_out <= 10);
}

#[test]
fn failed_swap_is_retried_after_a_wait_and_does_not_stop_others() {
    let mut fleet = Fleet::new(20, RolloutConfig::default());
    fleet.engines.get_mut("w3").expect("w3").fail_swaps = 3;
    fleet.planner.publish(MODEL, Version(2), Fence(10));
    fleet.run_until(2);
    assert_eq!(fleet.swaps, 23);
    assert!(fleet.most_out <= 5);
}

#[test]
fn quarantined_workers_do_not_stop_a_rollout() {
    let mut planner = WeightPlanner::new(RolloutConfig::default());
    for index in 0..8 {
        let known = LoadedVersion::Known(Version(1));
        let loaded = if index < 4 {
            LoadedVersion::Unknown
        } else {
            known
        };
        planner.on_report(Millis(0), MODEL, &format!("w{index}"), idle(loaded));
    }
    planner.publish(MODEL, Version(2), Fence(1));
    let orders = planner.tick(Millis(0));
    assert_eq!(orders.len(), 1);
    assert!(["w4", "w5", "w6", "w7"].contains(&orders[0].worker.as_str()));
    // A lost order is sent again after its timeout, and a worker that is gone is removed.
    assert_eq!(planner.tick(Millis(9999)), []);
    assert_eq!(planner.tick(Millis(10_000)).len(), 1);
    planner.on_gone(&orders[0].worker);
    assert_eq!(planner.progress(MODEL).workers, 7);
}

#[test]
fn any_history_ends_at_the_newest_version_with_the_model_in_service() {
    for seed in SEEDS {
        arbtest(|u| {
            let workers = u.int_in_range(1..=30)?;
            let mut fleet = Fleet::new(workers, RolloutConfig::default());
            let mut newest = 1;
            for _ in 0..60 {
                if u.ratio(1, 10)? {
                    newest += 1;
                    fleet.planner.publish(MODEL, Version(newest), Fence(newest));
                }
                if u.ratio(1, 20)? {
                    fleet.planner = WeightPlanner::new(RolloutConfig::default());
                    fleet.planner.publish(MODEL, Version(newest), Fence(newest));
                    fleet.report();
                }
                if u.ratio(1, 20)? {
                    let index = u.choose_index(workers)?;
                    let engine = fleet.engines.get_mut(&format!("w{index}"));
                    engine.expect("the worker has an engine").fail_swaps = u.int_in_range(0..=2)?;
                }
                fleet.tick();
            }
            fleet.run_until(newest);
            let served = workers - fleet.most_out;
            assert!(workers == 1 || served > 0, "{served} of {workers} served");
            Ok(())
        })
        .seed(seed << 32 | 16_384)
        .run();
    }
}

#[test]
fn rollout_time_follows_from_rate_and_waves() {
    let load = RolloutEstimate {
        workers: 870,
        bytes_per_worker: 1 << 30,
        store_bytes_per_second: 100 << 30,
        max_out_percent: 25,
        swap_time: Millis(2000),
        turnaround: Millis(1200),
    };
    assert_eq!(load.waves(), 5);
    assert_eq!(load.time(), Millis(8700 + 5 * 3200));
    let rate = load
        .rate_for(Millis::from_secs(28))
        .expect("some store rate meets 28 s");
    let met = RolloutEstimate {
        store_bytes_per_second: rate,
        ..load
    };
    assert!(met.time() <= Millis::from_secs(28));
    assert_eq!(load.rate_for(Millis::from_secs(16)), None);
}

#[test]
fn planners_with_the_same_reports_send_the_same_orders() {
    let orders = |now: u64, first: u64| {
        let mut planner = WeightPlanner::new(RolloutConfig::default());
        for index in 0..40 {
            let name = format!("w{}", (index + first) % 40);
            let loaded = LoadedVersion::Known(Version(1));
            planner.on_report(Millis(now), MODEL, &name, idle(loaded));
        }
        planner.publish(MODEL, Version(2), Fence(1));
        planner.tick(Millis(now))
    };
    assert_eq!(orders(0, 0).len(), 10);
    assert_eq!(orders(0, 0), orders(12_345, 17));
}

#[test]
fn wait_doubles_after_each_failed_swap() {
    let mut planner = WeightPlanner::new(RolloutConfig::default());
    let known = idle(LoadedVersion::Known(Version(1)));
    planner.on_report(Millis(0), MODEL, "w", known);
    planner.publish(MODEL, Version(2), Fence(1));
    assert_eq!(planner.tick(Millis(0)).len(), 1);
    let mut now = 0;
    for wait in [1000, 2000, 4000, 8000, 16_000, 30_000, 30_000] {
        planner.on_report(Millis(now), MODEL, "w", idle(LoadedVersion::Unknown));
        planner.on_report(Millis(now), MODEL, "w", known);
        assert_eq!(planner.tick(Millis(now + wait - 1)), []);
        now += wait;
        assert_eq!(planner.tick(Millis(now)).len(), 1);
    }
}

#[test]
fn two_concurrent_planners_send_no_more_orders_than_one() {
    let mut fleet = Fleet::new(80, RolloutConfig::default());
    fleet.planner.publish(MODEL, Version(2), Fence(10));
    let mut second = fleet.planner.clone();
    for _ in 0..100 {
        // Both receive the same reports before either sends its orders.
        std::mem::swap(&mut fleet.planner, &mut second);
        fleet.now += TICK_MS;
        for engine in fleet.engines.values_mut() {
            engine.advance(fleet.now);
        }
        fleet.report();
        std::mem::swap(&mut fleet.planner, &mut second);
        fleet.now -= TICK_MS;
        fleet.tick();
        for order in second.tick(Millis(fleet.now)) {
            fleet.take(&order);
        }
    }
    assert!(
        fleet
            .engines
            .values()
            .all(|engine| engine.version == Some(2))
    );
    assert_eq!(fleet.swaps, 80);
    let out = |engine: &&Engine| engine.swap.is_some();
    assert_eq!(fleet.engines.values().filter(out).count(), 0);
    assert!(fleet.most_out <= 20, "{}", fleet.most_out);
}
