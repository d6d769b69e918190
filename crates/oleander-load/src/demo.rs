//! The demo: one small deployment under traffic, trainers and faults, judged by the stand-ins.

use crate::demo_faults::{DrainReport, Faults};
use crate::demo_report::DemoReport;
use crate::deployment::Deployment;
use crate::deployment_cfg::{DeploymentCfg, ModelGroup, ServiceGroup};
use crate::deployment_error::DeploymentError;
use crate::order_client::{self, Order, OrderEnd, OrderKind};
use oleander_standins::engine_switches::EngineSwitches;
use oleander_standins::free_address::spawn_child;
use oleander_standins::server::Server;
use oleander_standins::service::ServiceSwitches;
use oleander_standins::step_record::TrainerRecord;
use oleander_standins::trainer;
use oleander_standins::trainer_cfg::TrainerCfg;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smol::Timer;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use strum::VariantArray;
use trillium_smol::async_global_executor::{Task, spawn};

/// The contract of the demo, the one that ships as an example.
const CONTRACT: &str = include_str!("../../../contracts/kalahari.ini");
/// Longest wait for the deployment to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which orders are sent.
const TRAFFIC: Duration = Duration::from_secs(20);
/// Orders a second.
const ORDERS_PER_SECOND: f64 = 60.0;
/// Seed of orders and arrivals.
const SEED: u64 = 20_261_203;
/// Tokens of a completion.
const ADVICE_TOKENS: u64 = 32;
/// Trainers, with the seed of their lengths.
const TRAINERS: [&str; 2] = ["advice", "quality-notes"];
/// Longest wait for the trainers after the traffic.
const TRAINER_TIMEOUT: Duration = Duration::from_secs(40);

/// Runs the demo and returns its report.
///
/// # Errors
///
/// What kept the deployment from starting.
pub async fn run() -> Result<DemoReport, DeploymentError> {
    println!("starting 3 entries, 9 engines and 4 plain services with their agents");
    let mut deployment = Deployment::start(deployment_cfg(), READY_TIMEOUT).await?;
    let contract = apply_contract(&deployment).await?;
    println!(
        "contract of kalahari in force everywhere after {} ms",
        contract.in_force_ms
    );
    let entries = deployment.entry_addresses();
    let trainers = start_trainers(&entries)?;
    let orders = spawn(send_orders(entries));
    let drain = Faults::run(&mut deployment).await?;
    let ends = orders.await;
    let steps = wait_for_trainers(&trainers).await?;
    let report = judge(&deployment, &ends, steps, drain, contract).await?;
    deployment.stop().await?;
    Ok(report)
}

fn deployment_cfg() -> DeploymentCfg {
    let engines = EngineSwitches {
        capacity: 8,
        token_us: 2_000,
        swap_ms: 150,
        prefill_ms: 5,
        ..EngineSwitches::default()
    };
    let services = ServiceSwitches {
        capacity: 8,
        service_ms: 15,
        ..ServiceSwitches::default()
    };
    DeploymentCfg {
        entries: 3,
        models: vec![ModelGroup {
            model: "advisor".to_owned(),
            engines: 9,
            version: 1,
            switches: engines,
        }],
        services: vec![ServiceGroup {
            services: vec!["quote".to_owned(), "availability".to_owned()],
            instances: 4,
            switches: services,
        }],
        ..DeploymentCfg::default()
    }
}

/// How fast the contract came into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContractTiming {
    /// Time from acceptance until every process had it, in milliseconds.
    pub in_force_ms: u64,
}

/// Puts the contract in force with the operators' own command.
async fn apply_contract(deployment: &Deployment) -> Result<ContractTiming, DeploymentError> {
    let file = deployment.folder().join("kalahari.ini");
    std::fs::write(&file, CONTRACT)?;
    let entry = format!("http://{}", deployment.entries[0].http);
    let program = deployment.cfg.programs.join("oleanderctl");
    ctl(
        &program,
        &entry,
        &["contract", "apply", &file.display().to_string()],
    )
    .await?;
    let accepted = Instant::now();
    ctl(&program, &entry, &["contract", "wait", "kalahari"]).await?;
    let in_force_ms = u64::try_from(accepted.elapsed().as_millis()).unwrap_or(u64::MAX);
    Ok(ContractTiming { in_force_ms })
}

async fn ctl(program: &Path, entry: &str, args: &[&str]) -> Result<(), DeploymentError> {
    let mut command = std::process::Command::new(program);
    command.arg("--entry").arg(entry).args(args);
    let status = smol::unblock(move || spawn_child(&mut command)?.wait()).await?;
    if status.success() {
        return Ok(());
    }
    let fault = format!("oleanderctl {} ended with {status}", args.join(" "));
    Err(std::io::Error::other(fault).into())
}

fn start_trainers(entries: &[SocketAddr]) -> std::io::Result<Vec<Server>> {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let start = |(seed, name): (usize, &&str)| {
        let cfg = TrainerCfg {
            entries: entries.to_vec(),
            trainer: (*name).to_owned(),
            model: "advisor".to_owned(),
            class: "advisor".to_owned(),
            steps: 6,
            groups: 8,
            samples_per_group: 8,
            tokens_min: 16,
            tokens_max: 400,
            seed: seed as u64,
            pause_ms: 1500,
            version: 1,
            staleness: 2,
            publish: seed == 0,
            ..TrainerCfg::default()
        };
        trainer::spawn(listen, cfg)
    };
    TRAINERS.iter().enumerate().map(start).collect()
}

async fn send_orders(entries: Vec<SocketAddr>) -> Vec<OrderEnd> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let began = Instant::now();
    let mut due = Duration::ZERO;
    let mut tasks: Vec<Task<OrderEnd>> = Vec::new();
    while due < TRAFFIC {
        let at = began + due;
        Timer::at(at).await;
        let order = next_order(tasks.len() as u64, &mut rng);
        let first = rng.random_range(0..entries.len());
        let entries = entries.clone();
        tasks.push(spawn(async move {
            order_client::send(&entries, first, at, order).await
        }));
        // Exponential gaps make Poisson arrivals.
        let gap = -(1.0 - rng.random::<f64>()).ln() / ORDERS_PER_SECOND;
        due += Duration::from_secs_f64(gap);
    }
    let mut ends = Vec::new();
    for task in tasks {
        ends.push(task.await);
    }
    ends
}

fn next_order(number: u64, rng: &mut StdRng) -> Order {
    let kinds = OrderKind::VARIANTS;
    let kind = kinds[rng.random_range(0..kinds.len())];
    Order {
        number,
        kind,
        tokens: ADVICE_TOKENS,
    }
}

async fn wait_for_trainers(trainers: &[Server]) -> Result<Vec<TrainerRecord>, DeploymentError> {
    let until = Instant::now() + TRAINER_TIMEOUT;
    let mut records = Vec::new();
    for server in trainers {
        let api = oleander_standins::api::Api::new(server.address());
        loop {
            let record: TrainerRecord = api.record().await?;
            if record.finished || Instant::now() >= until {
                records.push(record);
                break;
            }
            Timer::after(Duration::from_millis(100)).await;
        }
    }
    Ok(records)
}

async fn judge(
    deployment: &Deployment,
    ends: &[OrderEnd],
    steps: Vec<TrainerRecord>,
    drain: DrainReport,
    contract: ContractTiming,
) -> Result<DemoReport, DeploymentError> {
    let mut records = Vec::new();
    for endpoint in &deployment.endpoints {
        if !endpoint.is_engine() {
            records.push(endpoint.service_record().await?);
        }
    }
    let orders = crate::order_ledger::judge(ends, &records);
    let mut metrics = Vec::new();
    for entry in &deployment.entries {
        if entry.process().is_some() {
            metrics.push(entry.api().get("/metrics").await?.body);
        }
    }
    Ok(DemoReport {
        orders,
        trainers: steps,
        drain,
        contract,
        metrics,
    })
}
