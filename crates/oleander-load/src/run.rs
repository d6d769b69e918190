//! Runs one experiment with one policy.

use crate::caller;
use crate::deployment::Deployment;
use crate::deployment_error::DeploymentError;
use crate::experiment::Experiment;
use crate::outcome::CallOutcome;
use crate::stream_cfg::StreamCfg;
use crate::stream_plan::{self, PlannedCall};
use async_channel::Receiver;
use oleander_standins::engine::EngineRecord;
use oleander_standins::server::StopFlag;
use oleander_standins::service::ServiceRecord;
use oleander_standins::step_record::TrainerRecord;
use oleander_standins::trainer;
use oleander_standins::trainer_cfg::TrainerCfg;
use oleanderlock::policy::Policy;
use parking_lot::Mutex;
use smol::Timer;
use std::sync::Arc;
use std::time::{Duration, Instant};
use trillium_smol::async_global_executor::spawn;

const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time before the first call, so that all streams start together.
const LEAD: Duration = Duration::from_millis(200);

/// What became of one stream.
#[derive(Clone, Debug)]
pub struct StreamResult {
    /// The stream.
    pub cfg: StreamCfg,
    /// Calls per second offered.
    pub rate: f64,
    /// The calls.
    pub calls: Vec<PlannedCall>,
    /// What became of them, in the order of their ends.
    pub outcomes: Vec<CallOutcome>,
}

/// What became of one trainer.
#[derive(Clone, Debug)]
pub struct TrainerResult {
    /// The trainer.
    pub cfg: TrainerCfg,
    /// Its steps.
    pub record: TrainerRecord,
}

/// What became of an experiment with one policy.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// The policy.
    pub policy: Policy,
    /// Interactive load.
    pub streams: Vec<StreamResult>,
    /// Trainers.
    pub trainers: Vec<TrainerResult>,
    /// What truly ran at each engine.
    pub engines: Vec<EngineRecord>,
    /// What truly ran at each service.
    pub services: Vec<ServiceRecord>,
}

struct RunningStream {
    cfg: StreamCfg,
    rate: f64,
    calls: Vec<PlannedCall>,
    ended: Receiver<CallOutcome>,
}

struct RunningTrainer {
    cfg: TrainerCfg,
    record: Arc<Mutex<TrainerRecord>>,
    stopped: StopFlag,
}

/// Runs one experiment with one policy on a deployment of its own.
pub async fn run(experiment: &Experiment, policy: Policy) -> Result<RunResult, DeploymentError> {
    let mut cfg = experiment.deployment.clone();
    cfg.policy = policy;
    let mut deployment = Deployment::start(cfg, READY_TIMEOUT).await?;
    let origin = Instant::now() + LEAD;
    let streams = start_streams(experiment, &deployment, origin);
    let trainers = start_trainers(experiment, &deployment);
    strike_faults(experiment, &mut deployment, origin).await?;
    Timer::at(origin + Duration::from(experiment.duration)).await;
    let streams = finish_streams(streams).await;
    let trainers = trainers.into_iter().map(RunningTrainer::finish).collect();
    let mut engines = Vec::new();
    let mut services = Vec::new();
    for endpoint in &deployment.endpoints {
        if endpoint.is_engine() {
            engines.push(endpoint.engine_record().await?);
        } else {
            services.push(endpoint.service_record().await?);
        }
    }
    Ok(RunResult {
        policy,
        streams,
        trainers,
        engines,
        services,
    })
}

fn start_streams(
    experiment: &Experiment,
    deployment: &Deployment,
    origin: Instant,
) -> Vec<RunningStream> {
    let entries = deployment.entry_addresses();
    let length_us = experiment.duration.0 * 1000;
    let mut streams = Vec::new();
    for (number, cfg) in experiment.streams.iter().enumerate() {
        let nominal = cfg.nominal_rate(&deployment.cfg.models, &deployment.cfg.services);
        let rate = nominal * cfg.load;
        let seed = experiment.seed.wrapping_add(number as u64);
        let calls = stream_plan::plan(cfg, rate, length_us, seed);
        let (tx, ended) = async_channel::unbounded();
        let sending = caller::send(cfg.clone(), calls.clone(), entries.clone(), origin, tx);
        spawn(sending).detach();
        streams.push(RunningStream {
            cfg: cfg.clone(),
            rate,
            calls,
            ended,
        });
    }
    streams
}

fn start_trainers(experiment: &Experiment, deployment: &Deployment) -> Vec<RunningTrainer> {
    let entries = deployment.entry_addresses();
    let mut trainers = Vec::new();
    for cfg in &experiment.trainers {
        let cfg = TrainerCfg {
            entries: entries.clone(),
            weights: Some(deployment.platform.weights.address()),
            ..cfg.clone()
        };
        let record = Arc::new(Mutex::new(TrainerRecord::default()));
        let stopped = StopFlag::default();
        spawn(trainer::run(
            cfg.clone(),
            Arc::clone(&record),
            stopped.clone(),
        ))
        .detach();
        trainers.push(RunningTrainer {
            cfg,
            record,
            stopped,
        });
    }
    trainers
}

async fn strike_faults(
    experiment: &Experiment,
    deployment: &mut Deployment,
    origin: Instant,
) -> Result<(), DeploymentError> {
    for fault in &experiment.faults {
        Timer::at(origin + Duration::from_millis(fault.at_ms)).await;
        fault.strike(deployment).await?;
    }
    Ok(())
}

/// Waits for every call; each ends at the latest with its timeout.
async fn finish_streams(streams: Vec<RunningStream>) -> Vec<StreamResult> {
    let mut results = Vec::new();
    for stream in streams {
        let mut outcomes = Vec::with_capacity(stream.calls.len());
        while let Ok(outcome) = stream.ended.recv().await {
            outcomes.push(outcome);
        }
        results.push(StreamResult {
            cfg: stream.cfg,
            rate: stream.rate,
            calls: stream.calls,
            outcomes,
        });
    }
    results
}

impl RunningTrainer {
    fn finish(self) -> TrainerResult {
        self.stopped.set();
        let record = self.record.lock().clone();
        TrainerResult {
            cfg: self.cfg,
            record,
        }
    }
}
