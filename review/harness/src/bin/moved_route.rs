//! A configuration moves one of two routes of batch jobs to a second model service. Items of both run
//! at the workers of both services, whatever their routes say.

use review_harness::client::HOST;
use review_harness::deployment::{Deployment, Size, WAIT, config, item, job};
use review_harness::record::{Record, has_trouble, run};
use serde_json::{Value, json};
use std::thread::sleep;
use std::time::Duration;

/// Job of the route that moves, and of the one that stays.
const JOB: &str = "7c41e09b52d6a3f8";
const OTHER_JOB: &str = "3b90d2f4a1c87e65";
const ITEMS: usize = 16;
/// Time from the acknowledgement of the configuration to the submission; `config_ms` is 2 s.
const SUBMIT_AFTER: Duration = Duration::from_millis(6000);

fn main() {
    run(case)
}

fn case(record: &Record) -> Vec<String> {
    let size = Size {
        entries: 1,
        dispatchers: 2,
        engines: 2,
        slots: 4,
        event_ms: 30,
        bound_ms: 2000,
    };
    // A second route of batch jobs stays at the old service.
    let mut version_1 = config(1);
    let routes = version_1["routes"].as_array_mut().expect("routes");
    let mut other = routes[0].clone();
    other["name"] = json!("other-jobs");
    other["path_prefix"] = json!("/other/");
    routes.push(other);
    let mut deployment = Deployment::start(&size, &version_1, record);
    let mut version_2 = version_1;
    version_2["version"] = json!(2);
    if has_trouble() {
        deployment.add_engine("llm-b", &size);
        deployment.add_engine("llm-b", &size);
        let services = version_2["services"].as_array_mut().expect("services");
        services.push(json!({"name": "llm-b", "health_path": "/health", "max_conns": 170}));
        version_2["routes"][0]["service"] = json!("llm-b");
    } else {
        version_2["routes"][0]["timeout_ms"] = json!(9000);
    }
    let service = version_2["routes"][0]["service"]
        .as_str()
        .expect("a service")
        .to_owned();
    deployment.store.put("config", "main", &version_2);
    record.line(&format!(
        "version 2 is acknowledged: {HOST}/rollout/ goes to {service}"
    ));
    sleep(SUBMIT_AFTER);
    deployment.submit(0, JOB, &job(0, 1, 4, &items("e5b2907c", "/rollout/")));
    deployment.submit_at(
        0,
        "/other/",
        OTHER_JOB,
        &job(0, 1, 4, &items("0a61b2c3", "/other/")),
    );
    for id in [JOB, OTHER_JOB] {
        let results = deployment.read_all(0, id, ITEMS, WAIT);
        record.line(&format!("job {id}: {} results", results.len()));
    }
    let mut broken = Vec::new();
    for engine in &deployment.engines {
        let of = engine.service();
        for run in engine.runs() {
            if run.id.starts_with("0a61b2c3") && of != "llm" {
                broken.push(format!(
                    "ROUTE: item {} ran at a worker of {of}, its route has always gone to llm",
                    run.id
                ));
            } else if run.id.starts_with("e5b2907c") && of != service {
                broken.push(format!(
                    "CONFIG: item {} ran at a worker of {of}, its route goes to {service}",
                    run.id
                ));
            }
        }
    }
    broken
}

fn items(prefix: &str, path: &str) -> Vec<Value> {
    let item = |n| {
        let id = format!("{prefix}{n:08x}");
        let mut item = item(&id, &format!("g{}", n / 4), "events 20");
        item["path"] = json!(format!("{path}{id}"));
        item
    };
    (0..ITEMS).map(item).collect()
}
