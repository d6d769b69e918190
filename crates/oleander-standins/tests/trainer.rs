//! The trainer stand-in against a scripted entry.

use oleander_standins::judge::{Sample, SampleSegment, judge};
use oleander_standins::reply::{self, with};
use oleander_standins::server::{Server, StopFlag};
use oleander_standins::step_plan::StepPlan;
use oleander_standins::step_record::TrainerRecord;
use oleander_standins::token_text::TokenText;
use oleander_standins::trainer::{self, Pulled};
use oleander_standins::trainer_cfg::TrainerCfg;
use parking_lot::Mutex;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use trillium::Conn;
use trillium_router::{Router, RouterConnExt};

const LOCAL: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

/// An entry that delivers one sample a pull, each changed by `fault`.
#[derive(Clone)]
struct Entry {
    plan: Arc<Mutex<Option<StepPlan>>>,
    opened: Arc<Mutex<Vec<u64>>>,
    published: Arc<Mutex<Vec<u64>>>,
    fault: fn(&mut Sample),
}

impl Entry {
    fn new(fault: fn(&mut Sample)) -> Self {
        Self {
            plan: Arc::default(),
            opened: Arc::default(),
            published: Arc::default(),
            fault,
        }
    }

    fn bind(&self) -> Server {
        let router = Router::new()
            .post("/v1/trainers/:trainer/steps/:step", with(self, open))
            .get(
                "/v1/trainers/:trainer/steps/:step/samples",
                with(self, pull),
            )
            .post("/v1/models/:model/versions", with(self, publish));
        Server::bind(SocketAddr::from(LOCAL), StopFlag::default(), router).unwrap()
    }
}

async fn open(entry: Entry, conn: Conn) -> Conn {
    let step = conn.param("step").unwrap().parse().unwrap();
    let Ok((conn, plan)) = reply::read::<StepPlan>(conn).await else {
        panic!("the trainer sent no plan");
    };
    let slots = plan.slots();
    *entry.plan.lock() = Some(plan);
    entry.opened.lock().push(step);
    reply::json(conn, 201, &json!({"slots": slots}))
}

async fn pull(entry: Entry, conn: Conn) -> Conn {
    let plan = entry.plan.lock().clone().unwrap();
    let from = reply::query(&conn, "cursor").unwrap_or_default();
    let version = reply::query(&conn, "version").unwrap().parse().unwrap();
    let next: usize = from.parse().unwrap_or_default();
    let per_group = plan.groups[0].lengths.len();
    let mut sample = sample(&plan, next / per_group, next % per_group, version);
    (entry.fault)(&mut sample);
    let pulled = Pulled {
        from,
        cursor: (next + 1).to_string(),
        version,
        remaining: (plan.slots() - next - 1) as u64,
        samples: vec![sample],
    };
    reply::json(conn, 200, &pulled)
}

async fn publish(entry: Entry, conn: Conn) -> Conn {
    let Ok((conn, body)) = reply::read::<serde_json::Value>(conn).await else {
        panic!("the trainer sent no version");
    };
    entry
        .published
        .lock()
        .push(body["version"].as_u64().unwrap());
    conn.with_status(202).halt()
}

fn sample(plan: &StepPlan, group: usize, index: usize, version: u64) -> Sample {
    let tokens = plan.groups[group].lengths[index];
    let token_text = TokenText::new(&plan.groups[group].prompt);
    let mut text = String::new();
    for token in 0..tokens {
        token_text.push(&mut text, token, version);
    }
    Sample {
        group: group as u32,
        index: index as u32,
        text,
        tokens,
        segments: vec![SampleSegment {
            version,
            first: 0,
            end: tokens,
        }],
    }
}

fn settings(entries: Vec<SocketAddr>) -> TrainerCfg {
    TrainerCfg {
        entries,
        steps: 2,
        groups: 2,
        samples_per_group: 2,
        first_step: 7,
        version: 5,
        pause_ms: 1,
        ..TrainerCfg::default()
    }
}

fn run(cfg: TrainerCfg) -> TrainerRecord {
    let record = Arc::new(Mutex::new(TrainerRecord::default()));
    smol::block_on(trainer::run(cfg, Arc::clone(&record), StopFlag::default()));
    record.lock().clone()
}

#[test]
fn whole_steps_continue_at_the_next_entry() {
    let entry = Entry::new(|_| {});
    let server = entry.bind();
    let gone = Entry::new(|_| {}).bind();
    let gone_address = gone.address();
    gone.stop();
    let record = run(settings(vec![gone_address, server.address()]));
    assert!(record.finished);
    assert_eq!(*entry.opened.lock(), [7, 8]);
    assert_eq!(*entry.published.lock(), [6, 7]);
    for step in &record.steps {
        assert!(step.whole_ms.is_some());
        assert_eq!((step.delivered, step.doubled, step.broken), (4, 0, 0));
        assert_eq!((step.misattributed, step.too_old), (0, 0));
        assert_eq!(step.staleness, [0; 4]);
    }
}

#[test]
fn doubled_samples_are_counted_and_leave_the_step_unfinished() {
    let entry = Entry::new(|sample| sample.index = 0);
    let server = entry.bind();
    let record = run(settings(vec![server.address()]));
    assert_eq!((record.steps[0].delivered, record.steps[0].doubled), (2, 2));
    assert_eq!(record.steps[0].whole_ms, None);
}

/// Runs against an entry with a fault and returns the first step's broken, misattributed and too
/// old samples.
fn faults(fault: fn(&mut Sample)) -> [u64; 3] {
    let server = Entry::new(fault).bind();
    let record = run(settings(vec![server.address()]));
    let step = &record.steps[0];
    [step.broken, step.misattributed, step.too_old]
}

#[test]
fn wrong_samples_are_told_apart() {
    assert_eq!(faults(|sample| sample.segments[0].version += 1), [0, 4, 0]);
    assert_eq!(faults(|sample| sample.segments[0].first = 1), [0, 4, 0]);
    assert_eq!(faults(|sample| sample.text.truncate(20)), [4, 0, 0]);
    assert_eq!(faults(age), [0, 0, 4]);
}

/// Makes a sample by version 3, which lags by two behind the trainer's first.
fn age(sample: &mut Sample) {
    sample.text = sample.text.replace("v5 ", "v3 ").replace("v6 ", "v4 ");
    sample.segments[0].version -= 2;
}

#[test]
fn the_text_of_another_prompt_is_not_whole() {
    let cfg = settings(Vec::new());
    let plan = StepPlan::new(&cfg, 7, 5);
    let own = sample(&plan, 0, 0, 5);
    let length = plan.groups[0].lengths[0];
    assert!(judge(&plan.groups[0].prompt, length, &own).whole);
    assert!(!judge(&plan.groups[1].prompt, length, &own).whole);
    assert_eq!(plan, StepPlan::new(&cfg, 7, 5));
    assert_ne!(plan, StepPlan::new(&cfg, 8, 5));
}
