//! Simulates a training step on engines of which a third are slower by a third, with a few runs that
//! take five times as long as the others and estimates of lengths that are often wrong. The step
//! ends with its longest run, so it must not stay on a slow engine while a fast one is free.

mod batch_support;

use arbtest::arbtest;
use batch_support::{MODEL, POLICY, SERVICE, step};
use indexmap::IndexMap;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::event_pace::EventPace;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::recall_reason::RecallReason;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::prelude::*;

const ENGINES: usize = 24;
const SLOTS: usize = 6;
const ITEMS: usize = 144;
/// Times between two events, in microseconds.
const FAST_US: u64 = 38_000;
const SLOW_US: u64 = 51_000;
/// Events of most runs, and of one in twelve.
const SHORT_EVENTS: u64 = 22;
const LONG_EVENTS: u64 = 158;
const TICK_MS: u64 = 20;
/// Time in which an item moves from one engine to another.
const MOVE_MS: u64 = 100;
fn interval_us(engine: usize) -> u64 {
    if engine.is_multiple_of(3) {
        SLOW_US
    } else {
        FAST_US
    }
}

/// Events of an item; the estimates do not tell which items are long.
fn events(index: usize) -> u64 {
    if index.is_multiple_of(12) {
        LONG_EVENTS
    } else {
        SHORT_EVENTS
    }
}

/// An engine: for each run, the time in microseconds that it has left here.
struct Engine {
    interval_us: u64,
    runs: IndexMap<ItemKey, u64>,
}

impl Engine {
    fn report(&self, name: &str) -> AgentReport {
        AgentReport {
            agent: name.to_owned(),
            slots: SLOTS,
            weights: IndexMap::from([(MODEL.to_owned(), 1)]),
            items: self.runs.keys().map(ItemKey::to_string).collect(),
            event_us: self.interval_us,
            service: Some(SERVICE.to_owned()),
            ..AgentReport::default()
        }
    }
}

/// Simulates a step and returns its duration in milliseconds. With `moving` false, runs stay on
/// their engines.
fn simulate(moving: bool) -> u64 {
    let mut scheduler = Scheduler::new(SchedulerConfig::default());
    let mut engines: IndexMap<String, Engine> = (0..ENGINES)
        .map(|n| {
            let engine = Engine {
                interval_us: interval_us(n),
                runs: IndexMap::new(),
            };
            (format!("agent-{n}"), engine)
        })
        .collect();
    for (name, engine) in &engines {
        scheduler.apply_report(Millis(0), engine.report(name));
    }
    let step = step(ITEMS, 8, |index| Some(1000 + (index as u64 * 37) % 100));
    scheduler.accept(step, POLICY.clone(), Millis(0));
    scheduler.plan_loads(Millis(0));
    // Events that are left of items that have moved.
    let mut left: IndexMap<ItemKey, u64> = IndexMap::new();
    let mut now = 0;
    let is_open = |scheduler: &Scheduler| {
        let job = scheduler.job("step").expect("the accepted job `step`");
        !job.unfinished().is_empty()
    };
    while is_open(&scheduler) {
        for assignment in scheduler.assign(Millis(now)) {
            let engine = &mut engines[&assignment.agent];
            let index = assignment.key.item.parse().expect("an index");
            let moved = left.get(&assignment.key);
            let length = moved.map_or(events(index) * engine.interval_us, |events| {
                events * engine.interval_us + MOVE_MS * 1000
            });
            engine.runs.insert(assignment.key, length);
        }
        now += TICK_MS;
        for (name, engine) in &mut engines {
            engine
                .runs
                .values_mut()
                .for_each(|left| *left = left.saturating_sub(TICK_MS * 1000));
            let ended = engine.runs.iter().filter(|(_, left)| **left == 0);
            let ended: Vec<ItemKey> = ended.map(|(key, _)| key.clone()).collect();
            for key in ended {
                engine.runs.shift_remove(&key);
                scheduler.finish(&key);
            }
            scheduler.apply_report(Millis(now), engine.report(name));
        }
        let recalls = scheduler.recalls(Millis(now)).into_iter();
        for recall in recalls.filter(|one| moving && one.reason == RecallReason::Straggler) {
            let engine = &mut engines[&recall.agent];
            if let Some(us) = engine.runs.shift_remove(&recall.key) {
                left.insert(recall.key.clone(), us.div_ceil(engine.interval_us));
                scheduler.return_item(&recall.agent, &recall.key, None);
            }
        }
    }
    now
}

#[test]
fn the_longest_runs_of_a_step_end_on_fast_engines() {
    let (took, staying) = (simulate(true), simulate(false));
    let fastest = LONG_EVENTS * FAST_US / 1000;
    let slowest = LONG_EVENTS * SLOW_US / 1000;
    assert!(staying >= slowest, "without moves {staying} ms");
    // The runs that start on slow engines are behind by what they lose until they may move.
    let behind = 1500 * (SLOW_US - FAST_US) / SLOW_US;
    let bound = fastest + behind + 2 * MOVE_MS + 2 * TICK_MS;
    assert!(took <= bound, "{took} ms, at most {bound} ms");
}

#[test]
fn an_idle_engine_is_not_taken_for_a_fast_one() {
    let mut pace = EventPace::default();
    assert_eq!(pace.interval_us(Millis(0)), 0);
    for n in 1..200 {
        pace.record(Millis(n * 51), Millis(51));
    }
    let ended = Millis(200 * 51);
    assert_eq!(pace.interval_us(ended), 51_000);
    assert_eq!(pace.interval_us(ended.plus(Millis::from_secs(60))), 51_000);
}

#[test]
fn a_slow_phase_shows_at_once_and_is_not_remembered() {
    let mut pace = EventPace::default();
    for n in 1..200 {
        pace.record(Millis(n * 38), Millis(38));
    }
    // Four times slower for eight seconds, six runs.
    let mut now = Millis(200 * 38);
    for n in 0..300 {
        now = now.plus(Millis(if n % 6 == 0 { 152 } else { 0 }));
        pace.record(now, Millis(152));
    }
    assert!(pace.interval_us(now) > 150_000);
    let later = pace.interval_us(now.plus(Millis::from_secs(5)));
    assert!((38_000..76_000).contains(&later), "{later} µs");
    let mut again = pace;
    again.record(now.plus(Millis::from_secs(5)), Millis(38));
    assert_eq!(again.interval_us(now.plus(Millis::from_secs(5))), 38_000);
}

#[test]
fn the_pace_stays_within_the_recorded_intervals() {
    arbtest(|u| {
        let mut pace = EventPace::default();
        let (mut now, mut least, mut most) = (Millis(0), u64::MAX, 0);
        for _ in 0..u.int_in_range(1..=60)? {
            let interval = u.int_in_range(1..=5000)?;
            now = now.plus(Millis(u.int_in_range(0..=9000)?));
            pace.record(now, Millis(interval));
            least = least.min(interval * 1000);
            most = most.max(interval * 1000);
            for at in [now, now.plus(Millis(4001))] {
                // Integer division may lose up to the weight of the average.
                let us = pace.interval_us(at);
                assert!(us + 16 >= least && us <= most, "{us} of {least}..{most}");
            }
        }
        Ok(())
    })
    .seed(0x5157_0000_0040);
}
