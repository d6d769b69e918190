//! Even load of a service's endpoints through real processes.

mod support;

use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::http::call;
use support::wait_for;

/// Makes calls one after the other through an entry with these contracts; returns how many each
/// service has run, and the log and metrics of the entry.
fn calls_by_service(contracts: &str) -> (Vec<usize>, String, String) {
    let mut deployment = Deployment::start(DeploymentSize {
        entries: 1,
        engines: 0,
        dispatchers: 1,
        services: 3,
    });
    let entry = &mut deployment.entries[0];
    entry.kill();
    entry.contracts = contracts.to_owned();
    entry.start();
    let answers = |id: &str| {
        let headers = [("request-id", id), ("deadline-ms", "1400")];
        let reply = deployment.call(0, "POST", "/calls/x", &headers, b"body");
        reply.is_some_and(|reply| reply.status == 200)
    };
    wait_for("the entry knows the endpoints", || answers("warm"));
    for n in 0..60 {
        assert!(answers(&format!("call-{n}")), "call {n}");
    }
    let runs = deployment.services.iter().map(|service| {
        let all = service.calls_run();
        all.iter()
            .filter(|run| {
                run.header("request-id")
                    .is_some_and(|id| id.starts_with("call-"))
            })
            .count()
    });
    let entry = &deployment.entries[0];
    // Lines are written by a thread of their own, and of the kind `call` not all of 60.
    wait_for("a call is logged", || {
        entry
            .process()
            .log()
            .contains("event=call request=call-20 ")
    });
    let metrics = call(entry.metrics, "GET", "/metrics", &[], b"").expect("an answer");
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    (runs.collect(), entry.process().log(), metrics)
}

/// Guards against endpoints that idle because another answers fast, and against choices that nobody
/// can explain.
#[test]
fn all_endpoints_are_called_with_the_contract() {
    let (runs, log, metrics) = calls_by_service("pool");
    // How many calls each gets follows the times that were measured; the replay checks that.
    assert!(runs.iter().all(|count| *count > 0), "{runs:?}");
    let chosen = log
        .lines()
        .find(|line| line.contains("event=endpoint-chosen"));
    let chosen = chosen.expect("a line on a choice");
    for key in [
        "request=",
        "kind=call",
        "instance=",
        "candidates=",
        "age=",
        "reason=",
    ] {
        assert!(chosen.contains(key), "{chosen}");
    }
    assert!(metrics.contains("chosen-turn") || metrics.contains("chosen-connected"));
    assert!(metrics.contains("choice-age"));
}

/// Guards against another choice in deployments that do not ask for it.
#[test]
fn the_choice_is_as_before_without_the_contract() {
    let (_, log, metrics) = calls_by_service("");
    assert!(!log.contains("endpoint-chosen"));
    assert!(!metrics.contains("chosen-"));
}
