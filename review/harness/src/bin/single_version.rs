//! After a change of leader, items of a `single_ver` route are listed with two versions.

use review_harness::client::HOST;
use review_harness::deployment::{Deployment, Size, WAIT, config, item, job};
use review_harness::engine::MODEL;
use review_harness::record::{Record, has_trouble, run};
use serde_json::{Value, json};
use std::thread::sleep;
use std::time::Duration;

/// Routes that the configuration has grown by.
const MORE_ROUTES: usize = 1980;

const FIRST_JOB: &str = "3b90d2f4a1c87e65";
const JOB: &str = "7c41e09b52d6a3f8";

fn main() {
    run(case)
}

fn case(record: &Record) -> Vec<String> {
    let size = Size {
        entries: 1,
        dispatchers: 2,
        engines: 2,
        slots: 4,
        event_ms: 40,
        bound_ms: 2000,
    };
    let mut config = config(1);
    let routes = config["routes"].as_array_mut().expect("routes");
    routes[0]["single_ver"] = json!(true);
    for n in 0..MORE_ROUTES {
        routes.push(json!({"name": format!("r-{n:08x}"), "host": HOST,
            "path_prefix": format!("/idle{n:06x}/"), "kind": "safe", "timeout_ms": 1500,
            "goal_ms": 150, "prio": 2, "service": "desk", "attempts": 4}));
    }
    let mut deployment = Deployment::start(&size, &config, record);
    // The trainer requests a step ahead, ends the one before and names the next version.
    let first: Vec<Value> = (0..4)
        .map(|n| item(&format!("0a61b2c3{n:08x}"), "g0", "events 10"))
        .collect();
    deployment.submit(0, FIRST_JOB, &job(0, 1, 1, &first));
    deployment.read_all(0, FIRST_JOB, 4, WAIT);
    let items: Vec<Value> = (0..24)
        .map(|n| {
            item(
                &format!("e5b2907c{n:08x}"),
                &format!("g{}", n / 4),
                "events 60",
            )
        })
        .collect();
    deployment.submit(0, JOB, &job(1, 1, 6, &items));
    deployment.end(0, FIRST_JOB);
    sleep(Duration::from_millis(500));
    if has_trouble() {
        let leader = deployment.leader().expect("a leader");
        deployment.dispatchers[leader].kill();
        sleep(Duration::from_millis(3500));
        deployment.dispatchers[leader].start();
    } else {
        sleep(Duration::from_millis(3500));
    }
    deployment
        .store
        .put("versions", MODEL, &json!({"model": MODEL, "version": 2}));
    record.line("version 2 is named");
    let results = deployment.read_all(0, JOB, 24, Duration::from_secs(40));
    let mut broken = Vec::new();
    for result in &results {
        let versions = result["versions"].as_array().map_or(0, Vec::len);
        if versions > 1 {
            broken.push(format!(
                "item {} has versions {}",
                result["id"], result["versions"]
            ));
        }
    }
    record.line(&format!("results {}", results.len()));
    broken
}
