//! The trainer stand-in: opens steps, pulls their samples and publishes versions.

use crate::api::{Api, ApiError};
use crate::judge::Sample;
use crate::reply::{self, with};
use crate::server::{Server, StopFlag};
use crate::step_plan::StepPlan;
use crate::step_record::{StepRecord, TrainerRecord};
use crate::trainer_cfg::TrainerCfg;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol::Timer;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use trillium::Conn;
use trillium_router::Router;
use trillium_smol::async_global_executor::spawn as spawn_task;

/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 50;
/// Time beyond the wait of a pull until it is given up, in milliseconds.
const PULL_GRACE_MS: u64 = 5000;

/// The answer to a pull.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Pulled {
    /// Cursor that the pull carried.
    pub from: String,
    /// Cursor for the next pull.
    pub cursor: String,
    /// Version that the pull named.
    pub version: u64,
    /// Samples of the step that are not in the trainer's hands after this answer.
    pub remaining: u64,
    /// Samples after the cursor.
    pub samples: Vec<Sample>,
}

#[derive(Serialize)]
struct Publish {
    version: u64,
}

#[derive(Deserialize)]
struct Opened {
    slots: u64,
}

struct Trainer {
    cfg: TrainerCfg,
    entries: Vec<Api>,
    weights: Option<Api>,
    started: Instant,
    stopped: StopFlag,
    record: Arc<Mutex<TrainerRecord>>,
}

/// Place of a trainer in its list of entries.
#[derive(Default)]
struct EntryChoice {
    at: usize,
}

/// Starts a trainer and a server for its record; the steps run in the background.
pub fn spawn(listen: SocketAddr, cfg: TrainerCfg) -> io::Result<Server> {
    let stopped = StopFlag::default();
    let record = Arc::new(Mutex::new(TrainerRecord::default()));
    let router = Router::new().get("/record", with(&record, show));
    let server = Server::bind(listen, stopped.clone(), router)?;
    spawn_task(run(cfg, record, stopped)).detach();
    Ok(server)
}

/// Runs all steps of a trainer; returns early when `stopped` is set.
pub async fn run(cfg: TrainerCfg, record: Arc<Mutex<TrainerRecord>>, stopped: StopFlag) {
    let timeout = Duration::from_millis(cfg.wait_ms + PULL_GRACE_MS);
    let entries = cfg.entries.iter().map(|address| {
        let api = Api::new(*address).with_timeout(timeout);
        api.with_token(cfg.token.clone())
    });
    let trainer = Trainer {
        entries: entries.collect(),
        weights: cfg.weights.map(Api::new),
        started: Instant::now(),
        stopped,
        record,
        cfg,
    };
    trainer.run_steps().await;
}

impl Trainer {
    async fn run_steps(&self) {
        let mut choice = EntryChoice::default();
        let mut version = self.cfg.version;
        let first = self.cfg.first_step;
        for step in first..first + self.cfg.steps {
            self.run_step(&mut choice, step, version).await;
            Timer::after(Duration::from_millis(self.cfg.pause_ms)).await;
            if self.stopped.is_set() {
                return;
            }
            if self.cfg.publish {
                version += 1;
                self.publish(&mut choice, version).await;
            }
        }
        self.record.lock().finished = true;
    }

    async fn run_step(&self, choice: &mut EntryChoice, step: u64, version: u64) {
        let plan = StepPlan::new(&self.cfg, step, version);
        let record = StepRecord::new(step, self.now_ms());
        self.record.lock().steps.push(record);
        self.open(choice, step, &plan).await;
        let mut cursor = String::new();
        loop {
            if self.stopped.is_set() {
                return;
            }
            let asked = Instant::now();
            let pulled = self.pull(choice, step, &cursor, version).await;
            let idle_ms = asked.elapsed().as_millis() as u64;
            let counts = self.take(&plan, &cursor, version, idle_ms, &pulled);
            let Some(pulled) = pulled.filter(|_| counts) else {
                self.pause().await;
                continue;
            };
            cursor = pulled.cursor;
            if pulled.remaining == 0 {
                self.finish_step(&plan);
                return;
            }
        }
    }

    async fn open(&self, choice: &mut EntryChoice, step: u64, plan: &StepPlan) {
        let path = format!("{}/{step}", self.steps_path());
        while !self.stopped.is_set() {
            let opened = self.post(choice, &path, plan).await;
            let slots = opened.and_then(|reply| reply.json::<Opened>());
            match slots {
                Ok(opened) if opened.slots == plan.slots() as u64 => return,
                Ok(opened) => log::error!("event=wrong_slots step={step} slots={}", opened.slots),
                Err(e) => log::warn!("event=open_failed step={step} error=\"{e}\""),
            }
            self.pause().await;
        }
    }

    async fn pull(
        &self,
        choice: &mut EntryChoice,
        step: u64,
        cursor: &str,
        version: u64,
    ) -> Option<Pulled> {
        let steps = self.steps_path();
        let wait_ms = self.cfg.wait_ms;
        let path =
            format!("{steps}/{step}/samples?cursor={cursor}&version={version}&wait_ms={wait_ms}");
        let reply = self.entry(choice)?.get(&path).await;
        match reply.and_then(|reply| reply.json::<Pulled>()) {
            Ok(pulled) => Some(pulled),
            Err(e) => {
                log::warn!("event=pull_failed step={step} error=\"{e}\"");
                choice.at += 1;
                None
            }
        }
    }

    /// Judges the samples of an answer; returns whether the answer counts.
    fn take(
        &self,
        plan: &StepPlan,
        cursor: &str,
        version: u64,
        idle_ms: u64,
        pulled: &Option<Pulled>,
    ) -> bool {
        let mut record = self.record.lock();
        let Some(step) = record.steps.last_mut() else {
            return false;
        };
        step.idle_ms += idle_ms;
        let counts = pulled.as_ref();
        let counts = counts.filter(|p| p.from == cursor && p.version == version);
        let Some(pulled) = counts else {
            step.failed_pulls += 1;
            return false;
        };
        for sample in &pulled.samples {
            step.take(plan, sample, version, self.cfg.staleness);
        }
        true
    }

    fn finish_step(&self, plan: &StepPlan) {
        let now_ms = self.now_ms();
        let mut record = self.record.lock();
        let Some(step) = record.steps.last_mut() else {
            return;
        };
        step.whole_ms = step.is_whole(plan).then_some(now_ms);
        log::info!(
            "event=step_finished trainer={} step={} whole={} delivered={} doubled={} \
             misattributed={} too_old={} broken={} idle_ms={}",
            self.cfg.trainer,
            step.step,
            step.whole_ms.is_some(),
            step.delivered,
            step.doubled,
            step.misattributed,
            step.too_old,
            step.broken,
            step.idle_ms,
        );
    }

    async fn publish(&self, choice: &mut EntryChoice, version: u64) {
        let model = &self.cfg.model;
        if let Some(weights) = &self.weights {
            let path = format!("/weights/{model}/{version}");
            while !self.stopped.is_set() && !accepted(weights.put(&path, &()).await) {
                self.pause().await;
            }
        }
        let path = format!("/v1/models/{model}/versions");
        let body = Publish { version };
        while !self.stopped.is_set() && !accepted(self.post(choice, &path, &body).await) {
            self.pause().await;
        }
    }

    async fn post(
        &self,
        choice: &mut EntryChoice,
        path: &str,
        body: &impl Serialize,
    ) -> Result<crate::api::Reply, ApiError> {
        let Some(entry) = self.entry(choice) else {
            return Err(ApiError::Timeout);
        };
        let reply = entry.post(path, body).await;
        let failed = reply.as_ref().map_or(true, |reply| reply.status >= 500);
        choice.at += usize::from(failed);
        reply
    }

    fn entry(&self, choice: &EntryChoice) -> Option<&Api> {
        let at = choice.at.checked_rem(self.entries.len())?;
        self.entries.get(at)
    }

    fn steps_path(&self) -> String {
        format!("/v1/trainers/{}/steps", self.cfg.trainer)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    async fn pause(&self) {
        Timer::after(Duration::from_millis(RETRY_MS)).await;
    }
}

fn accepted(reply: Result<crate::api::Reply, ApiError>) -> bool {
    reply.is_ok_and(|reply| (200..300).contains(&reply.status))
}

async fn show(record: Arc<Mutex<TrainerRecord>>, conn: Conn) -> Conn {
    let record = record.lock().clone();
    reply::json(conn, 200, &record)
}
