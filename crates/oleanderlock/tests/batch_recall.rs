//! Simulates a training step with more items than slots, with and without the recall of waiting
//! items. The items that are beyond the slots wait at all engines; the first engine has only long
//! runs, so without a recall its waiting items start seconds after other engines have free slots.

mod batch_support;

use batch_support::{MODEL, POLICY, SERVICE, step};
use indexmap::IndexMap;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::recall_reason::RecallReason;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::prelude::*;

const ENGINES: usize = 8;
const SLOTS: usize = 8;
/// Items of a step, slightly more than all slots.
const ITEMS: usize = 76;
/// Duration of most runs.
const SHORT_RUN_MS: u64 = 900;
/// Duration of the runs that fill the first engine.
const LONG_RUN_MS: u64 = 6000;
const TICK_MS: u64 = 20;
/// Duration of the run of an item. Items are assigned round robin, so all long runs are on the first
/// engine.
fn run_ms(index: usize) -> u64 {
    if index < ENGINES * SLOTS && index.is_multiple_of(ENGINES) {
        LONG_RUN_MS
    } else {
        SHORT_RUN_MS
    }
}

/// The runs of an engine with their remaining time in milliseconds, and its waiting items.
#[derive(Default)]
struct Engine {
    runs: IndexMap<ItemKey, u64>,
    waiting: Vec<ItemKey>,
}

impl Engine {
    fn report(&self, name: &str) -> AgentReport {
        let items = self.runs.keys().chain(&self.waiting);
        AgentReport {
            agent: name.to_owned(),
            slots: SLOTS,
            weights: IndexMap::from([(MODEL.to_owned(), 1)]),
            items: items.map(ItemKey::to_string).collect(),
            waiting: self.waiting.iter().map(ItemKey::to_string).collect(),
            service: Some(SERVICE.to_owned()),
            ..AgentReport::default()
        }
    }

    fn accept(&mut self, key: ItemKey) {
        if self.runs.len() < SLOTS {
            let index = key.item.parse().expect("the id of an item is its index");
            self.runs.insert(key, run_ms(index));
        } else {
            self.waiting.push(key);
        }
    }

    /// Removes an item if it waits; returns whether it did.
    fn return_waiting(&mut self, key: &ItemKey) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting != key);
        self.waiting.len() < before
    }

    /// Advances the time by a tick; returns the items whose runs have ended.
    fn tick(&mut self) -> Vec<ItemKey> {
        for left in self.runs.values_mut() {
            *left = left.saturating_sub(TICK_MS);
        }
        let ended = self.runs.iter().filter(|(_, left)| **left == 0);
        let ended: Vec<ItemKey> = ended.map(|(key, _)| key.clone()).collect();
        for key in &ended {
            self.runs.shift_remove(key);
        }
        for key in std::mem::take(&mut self.waiting) {
            self.accept(key);
        }
        ended
    }
}

/// Simulates a step and returns its duration in milliseconds. With `recalling` false, waiting items
/// stay on their engines.
fn simulate(recalling: bool) -> u64 {
    let mut scheduler = Scheduler::new(SchedulerConfig::default());
    let names = (0..ENGINES).map(|n| format!("agent-{n}"));
    let mut engines: IndexMap<String, Engine> =
        names.map(|name| (name, Engine::default())).collect();
    for (name, engine) in &engines {
        scheduler.apply_report(Millis(0), engine.report(name));
    }
    // The trainer does not know which runs will be long.
    let step = step(ITEMS, 4, |_| None);
    scheduler.accept(step, POLICY.clone(), Millis(0));
    // Waiting items are recalled only for engines in the set of their model, and this call also
    // assigns the engines to the sets.
    scheduler.plan_loads(Millis(0));
    let mut now = 0;
    while !scheduler
        .job("step")
        .expect("the accepted job `step`")
        .unfinished()
        .is_empty()
    {
        for assignment in scheduler.assign(Millis(now)) {
            engines[&assignment.agent].accept(assignment.key);
        }
        now += TICK_MS;
        for (name, engine) in &mut engines {
            for key in engine.tick() {
                scheduler.finish(&key);
            }
            scheduler.apply_report(Millis(now), engine.report(name));
        }
        let recalls = scheduler.recalls(Millis(now)).into_iter();
        for recall in recalls.filter(|recall| recalling && recall.reason == RecallReason::NoSlot) {
            if engines[&recall.agent].return_waiting(&recall.key) {
                scheduler.return_item(&recall.agent, &recall.key, None);
            }
        }
    }
    now
}

#[test]
fn items_do_not_wait_behind_long_runs_while_other_engines_have_free_slots() {
    let (took, without_recall) = (simulate(true), simulate(false));
    assert_eq!(
        took, LONG_RUN_MS,
        "milliseconds of the step with recalls of waiting items"
    );
    assert!(
        without_recall >= LONG_RUN_MS + SHORT_RUN_MS,
        "without recalls the step took {without_recall} ms; expected at least {} ms",
        LONG_RUN_MS + SHORT_RUN_MS
    );
}
