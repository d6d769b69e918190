//! An item whose first two runs are answered with 500 is listed as errored, though its route allows a
//! third one.

use review_harness::deployment::{Deployment, Size, config, item, job};
use review_harness::record::{Record, has_trouble, run};
use serde_json::Value;
use std::thread::sleep;
use std::time::Duration;

/// `attempts` of the route.
const ATTEMPTS: usize = 3;
/// Length of the outage of the store.
const OUTAGE: Duration = Duration::from_millis(4900);
/// Time after the 202 at which the outage begins: the first runs are under way.
const OUTAGE_AFTER: Duration = Duration::from_millis(150);

fn main() {
    run(case)
}

fn case(record: &Record) -> Vec<String> {
    let size = Size {
        entries: 1,
        dispatchers: 2,
        engines: 2,
        slots: 12,
        event_ms: 30,
        bound_ms: 2000,
    };
    let deployment = Deployment::start(&size, &config(1), record);
    // Groups of four items; two runs of one item of each group are answered with 500.
    let items: Vec<Value> = (0..24)
        .map(|n| {
            let body = if n % 4 == 0 { "fail 10" } else { "events 10" };
            item(&format!("e5b2907c{n:08x}"), &format!("g{}", n / 4), body)
        })
        .collect();
    deployment.submit(0, "7c41e09b52d6a3f8", &job(0, 1, 6, &items));
    if has_trouble() {
        sleep(OUTAGE_AFTER);
        record.line("the store answers 503");
        deployment.store.set_down(true);
        sleep(OUTAGE);
        deployment.store.set_down(false);
        record.line("the store serves again");
    }
    let results = deployment.read_all(0, "7c41e09b52d6a3f8", 24, Duration::from_secs(30));
    let runs: Vec<_> = deployment
        .engines
        .iter()
        .flat_map(|one| one.runs())
        .collect();
    let mut broken = Vec::new();
    for result in results.iter().filter(|result| result["state"] == "errored") {
        let failed = runs
            .iter()
            .filter(|run| run.failed && result["id"] == run.id.as_str());
        let failed = failed.count();
        record.line(&format!(
            "item {} errored, answers of 500: {failed}",
            result["id"]
        ));
        if failed < ATTEMPTS {
            broken.push(format!(
                "item {} is errored after {failed} answers of 500, attempts are {ATTEMPTS}",
                result["id"]
            ));
        }
    }
    broken
}
