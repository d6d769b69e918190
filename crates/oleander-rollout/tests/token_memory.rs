//! Items beside the token memory of an engine.

mod support;

use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::{check_results, job};

/// Tokens of each item of the job.
const ITEM_TOKENS: u64 = 300;

/// Runs a job on an engine with memory for `tokens` tokens; returns the most items that ran at a time.
fn peak_running(tokens: u64, contracts: &'static str) -> usize {
    let mut deployment = Deployment::start(DeploymentSize {
        entries: 1,
        engines: 1,
        dispatchers: 1,
        services: 1,
    });
    deployment.engines[0].set_token_memory(tokens, ITEM_TOKENS);
    let agent = &mut deployment.agents[0];
    agent.kill();
    agent.contracts = contracts.to_owned();
    agent.start();
    let body = job(1, 1, 10, 10);
    deployment.submit(0, "job-a", &body);
    check_results(&deployment.read_all(0, "job-a", 20), &body);
    deployment.engines[0].peak_running()
}

/// Guards against items that an engine has no token memory for: it would crash.
#[test]
fn items_run_only_beside_those_that_leave_them_token_memory() {
    let peak = peak_running(2 * ITEM_TOKENS + 100, "pressure");
    assert!((1..=2).contains(&peak), "{peak} items ran at a time");
}

/// Guards against a bound that is in force although the deployment doesn't ask for it.
#[test]
fn items_run_as_before_where_nothing_bounds_them() {
    let peak = peak_running(2 * ITEM_TOKENS + 100, "");
    assert!(peak > 2, "{peak} items ran at a time");
}
