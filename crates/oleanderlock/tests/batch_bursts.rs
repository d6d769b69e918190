//! Steps that need more slots than the engines have: replays the load patterns that the
//! `batch::scheduler_*` modules name, with the naive way beside each.

use indexmap::IndexMap;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::job_item::JobItem;
use oleanderlock::batch::job_policy::JobPolicy;
use oleanderlock::batch::recall_reason::RecallReason;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::prelude::*;

const MODEL: &str = "advisor";
const ENGINES: usize = 8;
const SLOTS: usize = 8;
/// Items of a step, somewhat more than there are slots.
const ITEMS: usize = 76;
/// Time of most runs.
const SHORT: u64 = 900;
/// Time of the runs that fill one engine.
const LONG: u64 = 6000;
const TICK: u64 = 20;
const POLICY: JobPolicy = JobPolicy {
    attempts: 3,
    due_after: Millis(7500),
    keep: Millis(40_000),
    single_version: false,
};

/// Items go to the engines in turn, so all long runs come to the first one.
fn length(place: usize) -> u64 {
    if place < ENGINES * SLOTS && place.is_multiple_of(ENGINES) {
        LONG
    } else {
        SHORT
    }
}

fn step() -> Job {
    let items = (0..ITEMS).map(|place| JobItem {
        id: place.to_string(),
        path: "/rollout/x".to_owned(),
        headers: Vec::new(),
        body_base64: String::new(),
        tokens: 9000,
        // The trainer does not know which runs take long.
        expected_tokens: None,
        group: format!("g{}", place / 4),
        score_call: None,
    });
    Job {
        id: "step".to_owned(),
        host: "host".to_owned(),
        path: "/rollout/".to_owned(),
        submitted_unix_ms: 0,
        step: Some(1),
        model: MODEL.to_owned(),
        oldest_version: 1,
        groups_wanted: ITEMS / 4,
        items: items.collect(),
    }
}

/// The runs of an engine with what each still needs, and the items that wait there.
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
            ..AgentReport::default()
        }
    }

    fn take(&mut self, key: ItemKey) {
        if self.runs.len() < SLOTS {
            let place = key.item.parse().expect("a place");
            self.runs.insert(key, length(place));
        } else {
            self.waiting.push(key);
        }
    }

    /// Gives back an item if it waits; returns whether it did.
    fn give_back(&mut self, key: &ItemKey) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting != key);
        self.waiting.len() < before
    }

    /// Lets a tick pass, and returns what has ended.
    fn tick(&mut self) -> Vec<ItemKey> {
        for left in self.runs.values_mut() {
            *left = left.saturating_sub(TICK);
        }
        let over = self.runs.iter().filter(|(_, left)| **left == 0);
        let over: Vec<ItemKey> = over.map(|(key, _)| key.clone()).collect();
        for key in &over {
            self.runs.shift_remove(key);
        }
        for key in std::mem::take(&mut self.waiting) {
            self.take(key);
        }
        over
    }
}

/// Plays a step; returns how long it took. With `recalling` false items stay where they wait.
fn play(recalling: bool) -> u64 {
    let mut scheduler = Scheduler::new(SchedulerConfig::default());
    let names = (0..ENGINES).map(|n| format!("agent-{n}"));
    let mut engines: IndexMap<String, Engine> =
        names.map(|name| (name, Engine::default())).collect();
    for (name, engine) in &engines {
        scheduler.apply_report(Millis(0), engine.report(name));
    }
    scheduler.accept(step(), POLICY, Millis(0));
    scheduler.plan_loads(Millis(0));
    let mut now = 0;
    while !scheduler
        .job("step")
        .expect("a job")
        .unfinished()
        .is_empty()
    {
        for assignment in scheduler.assign(Millis(now)) {
            engines[&assignment.agent].take(assignment.key);
        }
        now += TICK;
        for (name, engine) in &mut engines {
            for key in engine.tick() {
                scheduler.finish(&key);
            }
            scheduler.apply_report(Millis(now), engine.report(name));
        }
        let recalls = scheduler.recalls(Millis(now)).into_iter();
        for recall in recalls.filter(|recall| recalling && recall.reason == RecallReason::NoSlot) {
            if engines[&recall.agent].give_back(&recall.key) {
                scheduler.return_item(&recall.agent, &recall.key, None);
            }
        }
    }
    now
}

#[test]
fn items_do_not_wait_behind_long_runs_while_other_engines_have_slots() {
    let (took, naive) = (play(true), play(false));
    assert_eq!(took, LONG);
    assert!(naive >= LONG + SHORT, "{naive}");
}
