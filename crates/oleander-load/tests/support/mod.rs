//! A small deployment for failure tests, and the judges that read the stand-ins' records.

#![allow(dead_code)]

use oleander_daemon::http::error_body::ErrorBody;
use oleander_load::deployment::Deployment;
use oleander_load::deployment_cfg::{DeploymentCfg, ModelGroup, ServiceGroup};
use oleander_load::endpoint::Endpoint;
use oleander_standins::api::{Api, ApiError, Reply};
use oleander_standins::engine_switches::EngineSwitches;
use oleander_standins::server::Server;
use oleander_standins::service::ServiceSwitches;
use oleander_standins::step_record::TrainerRecord;
use oleander_standins::trainer;
use oleander_standins::trainer_cfg::TrainerCfg;
use oleanderlock::prelude::*;
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use trillium_client::Method;

/// The contract that all failure tests run under.
pub const CONTRACT: &str = include_str!("../../../../contracts/kalahari.ini");
/// Longest wait for anything; reached only by a hang.
pub const HANG: Duration = Duration::from_secs(60);

/// What a caller of a plain service was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The service's answer.
    Answer(String),
    /// An error kind, and whether the work ran.
    Error { kind: ErrorKind, ran: Ran },
    /// No answer.
    Broken,
}

#[derive(Deserialize)]
struct KeyBody {
    key: String,
}

/// A call of the quote service.
#[derive(Clone, Debug)]
pub struct Quote {
    pub order: u64,
    pub key: Option<String>,
    pub first_call: bool,
    pub deadline_ms: u64,
}

impl Quote {
    pub fn new(order: u64) -> Self {
        Self {
            order,
            key: None,
            first_call: false,
            deadline_ms: 5000,
        }
    }

    pub fn keyed(order: u64, key: &str) -> Self {
        Self {
            key: Some(key.to_owned()),
            ..Self::new(order)
        }
    }

    pub fn within(self, deadline_ms: u64) -> Self {
        Self {
            deadline_ms,
            ..self
        }
    }

    pub async fn send(&self, entry: SocketAddr) -> Told {
        let api = Api::new(entry);
        let conn = api
            .conn(Method::Post, "/v1/services/quote/quote")
            .with_request_header("content-type", "application/json")
            .with_request_header("x-deadline-ms", self.deadline_ms.to_string())
            .with_request_header("x-first-call", if self.first_call { "yes" } else { "no" });
        let conn = match &self.key {
            Some(key) => conn.with_request_header("idempotency-key", key.clone()),
            None => conn,
        };
        let body = json!({ "order": self.order }).to_string();
        told(api.send(conn.with_body(body)).await)
    }
}

pub async fn issue_key(entry: SocketAddr) -> String {
    let reply = Api::new(entry)
        .post("/v1/keys", &json!({ "service": "quote" }))
        .await;
    let reply = reply.expect("an answer");
    reply.json::<KeyBody>().expect("a key").key
}

pub fn told(reply: Result<Reply, ApiError>) -> Told {
    let Ok(reply) = reply else {
        return Told::Broken;
    };
    if reply.status < 400 {
        return Told::Answer(reply.body);
    }
    let body: ErrorBody = serde_json::from_str(&reply.body).expect("the error shape");
    let kind = body.error.kind.parse().expect("a known kind");
    Told::Error {
        kind,
        ran: body.error.ran,
    }
}

/// Folder of the built programs; the tests run in its `deps`.
fn programs() -> PathBuf {
    let mut folder = std::env::current_exe().expect("own path");
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder
}

pub fn cfg(engines: usize, services: usize) -> DeploymentCfg {
    let engine = EngineSwitches {
        capacity: 8,
        token_us: 1000,
        swap_ms: 100,
        prefill_ms: 1,
        ..EngineSwitches::default()
    };
    let service = ServiceSwitches {
        capacity: 8,
        service_ms: 5,
        ..ServiceSwitches::default()
    };
    DeploymentCfg {
        programs: programs(),
        entries: 2,
        models: vec![ModelGroup {
            model: "advisor".to_owned(),
            engines,
            version: 1,
            switches: engine,
        }],
        services: vec![ServiceGroup {
            services: vec!["quote".to_owned(), "availability".to_owned()],
            instances: services,
            switches: service,
        }],
        contracts: vec![CONTRACT.to_owned()],
        ..DeploymentCfg::default()
    }
}

pub fn with_data(cfg: DeploymentCfg) -> DeploymentCfg {
    DeploymentCfg { data: true, ..cfg }
}

pub async fn start(cfg: DeploymentCfg) -> Deployment {
    Deployment::start(cfg, HANG).await.expect("a deployment")
}

/// Waits until every entry and agent has the generation.
pub async fn wait_in_force(deployment: &Deployment, generation: u64) {
    let until = Instant::now() + HANG;
    loop {
        let mut behind = Vec::new();
        for entry in &deployment.entries {
            let Ok(fleet) = deployment.fleet(entry).await else {
                behind.push(entry.name.clone());
                continue;
            };
            let own = fleet.config.iter().map(|object| object.generation).max();
            if own < Some(generation) {
                behind.push(entry.name.clone());
            }
            let lacks = |digest: &str| digest != fleet.config_digest;
            let agents = fleet
                .agents
                .iter()
                .filter(|agent| lacks(&agent.config_digest));
            behind.extend(agents.map(|agent| agent.name.clone()));
        }
        if behind.is_empty() {
            return;
        }
        assert!(
            Instant::now() < until,
            "generation {generation} is not at {behind:?}"
        );
        pause(20).await;
    }
}

/// Names of the endpoints that are plain services, or of those that are engines.
pub fn names(deployment: &Deployment, engines: bool) -> Vec<String> {
    let of_kind = |endpoint: &&Endpoint| endpoint.is_engine() == engines;
    let found = deployment.endpoints.iter().filter(of_kind);
    found.map(|endpoint| endpoint.agent.name.clone()).collect()
}

/// Sets switches of all stand-ins of one kind.
pub async fn control(deployment: &Deployment, engines: bool, switches: &str) {
    for endpoint in &deployment.endpoints {
        if endpoint.is_engine() == engines {
            endpoint.api().control(switches).await.expect("switches");
        }
    }
}

/// How often the order ran at all services together.
pub async fn runs(deployment: &Deployment, order: u64) -> usize {
    let body = json!({ "order": order }).to_string();
    let mut runs = 0;
    for endpoint in &deployment.endpoints {
        let record = endpoint.service_record().await.expect("a record");
        runs += record.runs.iter().filter(|run| run.body == body).count();
    }
    runs
}

pub async fn pause(ms: u64) {
    smol::Timer::after(Duration::from_millis(ms)).await;
}

pub fn trainer_cfg(entries: &[SocketAddr]) -> TrainerCfg {
    TrainerCfg {
        entries: entries.to_vec(),
        trainer: "advice".to_owned(),
        model: "advisor".to_owned(),
        class: "advisor".to_owned(),
        steps: 4,
        groups: 6,
        samples_per_group: 6,
        tokens_min: 40,
        tokens_max: 400,
        seed: 7,
        pause_ms: 100,
        version: 1,
        staleness: 2,
        publish: true,
        ..TrainerCfg::default()
    }
}

pub fn start_trainer(cfg: TrainerCfg) -> Server {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    trainer::spawn(listen, cfg).expect("a trainer")
}

pub async fn trainer_record(trainer: &Server) -> TrainerRecord {
    Api::new(trainer.address())
        .record()
        .await
        .expect("a record")
}

/// Samples that the trainer has taken in all its steps.
pub async fn delivered(trainer: &Server) -> u64 {
    let record = trainer_record(trainer).await;
    record.steps.iter().map(|step| step.delivered).sum()
}

/// Waits until the trainer has taken at least `delivered` samples in all its steps.
pub async fn wait_delivered(trainer: &Server, delivered: u64) {
    let until = Instant::now() + HANG;
    loop {
        let sum = self::delivered(trainer).await;
        if sum >= delivered {
            return;
        }
        assert!(Instant::now() < until, "the trainer hangs at {sum} samples");
        pause(10).await;
    }
}

/// Waits for the trainer's end and checks that each sample came once, whole, right and fresh.
pub async fn check_trainer(trainer: &Server, cfg: &TrainerCfg) -> TrainerRecord {
    let until = Instant::now() + HANG;
    let record = loop {
        let record = trainer_record(trainer).await;
        if record.finished {
            break record;
        }
        assert!(Instant::now() < until, "the trainer hangs: {record:?}");
        pause(20).await;
    };
    let per_step = u64::from(cfg.groups) * u64::from(cfg.samples_per_group);
    assert_eq!(record.steps.len() as u64, cfg.steps);
    for step in &record.steps {
        assert!(step.whole_ms.is_some(), "{step:?}");
        assert_eq!(step.delivered, per_step, "{step:?}");
        let faults = [step.doubled, step.misattributed, step.too_old, step.broken];
        assert_eq!(faults, [0; 4], "{step:?}");
    }
    record
}
