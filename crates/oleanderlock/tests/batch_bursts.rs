//! Two steps of a trainer almost at once, as after an outage: replays the load pattern that
//! `batch::board_assign` names, with the naive way beside it.

use indexmap::IndexMap;
use oleanderlock::batch::agent_state::AgentReport;
use oleanderlock::batch::board::Board;
use oleanderlock::batch::board_config::BoardConfig;
use oleanderlock::batch::item_key::ItemKey;
use oleanderlock::batch::job::{Job, JobItem};
use oleanderlock::batch::job_terms::JobTerms;
use oleanderlock::prelude::*;

const MODEL: &str = "advisor";
const ENGINES: usize = 8;
const SLOTS: usize = 8;
const ITEMS: usize = 240;
/// Time of most runs.
const SHORT: u64 = 600;
/// Time of one run in [`LONG_EACH`].
const LONG: u64 = 6000;
const LONG_EACH: usize = 20;
/// Time between the two steps.
const BETWEEN: u64 = 700;
const TICK: u64 = 20;
const TERMS: JobTerms = JobTerms {
    attempts: 3,
    due_after: Millis(7500),
    keep: Millis(40_000),
    single_version: false,
};

fn length(place: usize) -> u64 {
    if place.is_multiple_of(LONG_EACH) {
        LONG
    } else {
        SHORT
    }
}

fn step(number: u64) -> Job {
    let items = (0..ITEMS).map(|place| JobItem {
        id: place.to_string(),
        path: "/rollout/x".to_owned(),
        headers: Vec::new(),
        body_base64: String::new(),
        tokens: 9000,
        // What trainers expect is off by up to a half either way.
        expected_tokens: Some(length(place) * (2 + place as u64 % 5) / 4),
        group: format!("g{}", place / 8),
        score_call: None,
    });
    Job {
        id: number.to_string(),
        host: "host".to_owned(),
        path: "/rollout/".to_owned(),
        submitted_unix_ms: 0,
        step: Some(number),
        model: MODEL.to_owned(),
        oldest_version: 1,
        groups_wanted: ITEMS / 8,
        items: items.collect(),
    }
}

/// The runs of an engine with what each still needs, and the items that wait there.
#[derive(Default)]
struct Engine {
    runs: IndexMap<ItemKey, u64>,
    ahead: Vec<ItemKey>,
}

impl Engine {
    fn report(&self, name: &str) -> AgentReport {
        let items = self.runs.keys().chain(&self.ahead);
        AgentReport {
            agent: name.to_owned(),
            slots: SLOTS,
            weights: IndexMap::from([(MODEL.to_owned(), 1)]),
            items: items.map(ItemKey::to_string).collect(),
            ..AgentReport::default()
        }
    }

    fn take(&mut self, key: ItemKey) {
        if self.runs.len() < SLOTS {
            let place = key.item.parse().expect("a place");
            self.runs.insert(key, length(place));
        } else {
            self.ahead.push(key);
        }
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
        for key in std::mem::take(&mut self.ahead) {
            self.take(key);
        }
        over
    }
}

/// Plays a step by itself and then two almost at once; returns how long each of the two took.
/// With `learning` false the board never hears how long runs take.
fn play(learning: bool) -> [u64; 2] {
    let mut board = Board::new(BoardConfig::default());
    let names: Vec<String> = (0..ENGINES).map(|n| format!("agent-{n}")).collect();
    let mut engines: IndexMap<String, Engine> = IndexMap::new();
    for name in &names {
        engines.insert(name.clone(), Engine::default());
    }
    let first = 10_000;
    let asked = [0, first, first + BETWEEN];
    let mut ended = [None; 3];
    let mut now = 0;
    while ended.contains(&None) {
        for (number, at) in asked.into_iter().enumerate() {
            if at == now {
                board.accept(step(number as u64), TERMS, Millis(now));
            }
        }
        now += TICK;
        for (name, engine) in &mut engines {
            for key in engine.tick() {
                if learning {
                    board.note_run(&key, Millis(now));
                }
                board.finish(&key);
            }
            board.hear(Millis(now), engine.report(name));
        }
        for assignment in board.assign(Millis(now)) {
            engines[&assignment.agent].take(assignment.key);
        }
        for (number, at) in ended.iter_mut().enumerate() {
            let job = board.job(&number.to_string());
            let is_whole = job.is_some_and(|job| job.unfinished().is_empty());
            if is_whole && at.is_none() {
                *at = Some(now);
            }
        }
    }
    [1, 2].map(|number| ended[number].expect("it ended") - asked[number])
}

#[test]
fn long_runs_of_a_second_step_do_not_wait_for_short_ones_of_the_first() {
    let [first, second] = play(true);
    let [naive_first, naive_second] = play(false);
    // The longest run and one short one that had begun before it.
    assert!(second <= LONG + SHORT + 2 * TICK, "{second}");
    assert!(naive_second > second, "{naive_second} {second}");
    assert!(first <= naive_first + SHORT, "{first} {naive_first}");
    println!("{first} {second} {naive_first} {naive_second}");
}
