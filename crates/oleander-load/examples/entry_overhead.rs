//! Prints what the way through an entry and an agent adds to a call of a plain service.
//!
//! The same calls go to the services directly and through one entry, in turn.

use hdrhistogram::Histogram;
use oleander_load::deployment::Deployment;
use oleander_load::deployment_cfg::{DeploymentCfg, ServiceGroup};
use oleander_standins::api::Api;
use oleander_standins::service::ServiceSwitches;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trillium_smol::async_global_executor::spawn;

/// The contract that the calls run under.
const CONTRACT: &str = include_str!("../../../contracts/kalahari.ini");
/// Longest wait for the deployment to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Calls in flight at once.
const CALLERS: usize = 8;
/// Calls of each caller on each way, in each round.
const CALLS: usize = 500;
/// Rounds over both ways.
const ROUNDS: usize = 4;
/// Time of the service, in milliseconds.
const SERVICE_MS: u64 = 2;

/// One way to the service.
struct Way {
    name: &'static str,
    address: SocketAddr,
    path: &'static str,
    latency_us: Histogram<u64>,
    calls: u64,
    took: Duration,
}

fn main() {
    smol::block_on(async {
        let deployment = Deployment::start(cfg(), READY_TIMEOUT).await;
        let deployment = deployment.expect("a deployment");
        let mut ways = [
            way("direct", deployment.endpoints[0].address, "/availability"),
            way(
                "entry",
                deployment.entry_addresses()[0],
                "/v1/services/availability/availability",
            ),
        ];
        for _ in 0..ROUNDS {
            for way in &mut ways {
                run(way).await;
            }
        }
        for way in &ways {
            print(way);
        }
    });
}

fn cfg() -> DeploymentCfg {
    let service = ServiceSwitches {
        capacity: 64,
        service_ms: SERVICE_MS,
        ..ServiceSwitches::default()
    };
    DeploymentCfg {
        entries: 1,
        services: vec![ServiceGroup {
            services: vec!["quote".to_owned(), "availability".to_owned()],
            instances: 1,
            switches: service,
        }],
        contracts: vec![CONTRACT.to_owned()],
        ..DeploymentCfg::default()
    }
}

fn way(name: &'static str, address: SocketAddr, path: &'static str) -> Way {
    let latency_us = Histogram::new(3).expect("three digits are valid");
    Way {
        name,
        address,
        path,
        latency_us,
        calls: 0,
        took: Duration::ZERO,
    }
}

async fn run(way: &mut Way) {
    let began = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| spawn(call(way.address, way.path)))
        .collect();
    for caller in callers {
        for latency in caller.await {
            way.latency_us.record(latency).expect("the histogram grows");
            way.calls += 1;
        }
    }
    way.took += began.elapsed();
}

async fn call(address: SocketAddr, path: &'static str) -> Vec<u64> {
    let api = Api::new(address);
    let mut latencies = Vec::with_capacity(CALLS);
    for order in 0..CALLS {
        let began = Instant::now();
        let reply = api.post(path, &json!({ "order": order })).await;
        assert_eq!(reply.expect("an answer").status, 200);
        latencies.push(began.elapsed().as_micros() as u64);
    }
    latencies
}

fn print(way: &Way) {
    let at = |quantile| way.latency_us.value_at_quantile(quantile);
    println!(
        "way={} calls={} per_second={:.0} p50_us={} p90_us={} p99_us={}",
        way.name,
        way.calls,
        way.calls as f64 / way.took.as_secs_f64(),
        at(0.5),
        at(0.9),
        at(0.99)
    );
}
