//! Messages between processes that arrive again: nothing in them counts twice.

mod support;

use oleander_platform_standins::store_faults::StoreFaults;
use std::thread;
use std::time::Duration;
use support::deployment::Deployment;
use support::deployment_size::{DeploymentSize, SMALL};
use support::{check_results, job, wait_for};

/// Length of the outage of the store: the leader refuses a message with results after 4 s.
const OUTAGE: Duration = Duration::from_millis(5000);
/// Time between two events of a run: results and failures come while the store is away.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

// Guards against items that are errored before the last of their attempts: the failure of a run was
// counted again with each repetition of a message whose results could not be listed.
#[test]
fn a_failed_run_counts_once_while_results_cannot_be_listed() {
    let deployment = Deployment::start(DeploymentSize {
        engines: 1,
        ..SMALL
    });
    let engine = &deployment.engines[0];
    engine.set_event_interval(EVENT_INTERVAL);
    let body = job(1, 1, 4, 10);
    // Two failures, where the route allows three attempts.
    engine.fail_item("00010000", 2);
    deployment.submit(0, "job-a", &body);
    wait_for("the items run", || deployment.running() == 8);
    deployment.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    thread::sleep(OUTAGE);
    deployment.store.set_faults(StoreFaults::default());
    check_results(&deployment.read_all(0, "job-a", 8), &body);
}
