//! Ends of batch jobs whose outcome is not known at first.

mod support;

use oleander_platform_standins::store_faults::StoreFaults;
use std::thread;
use std::time::Duration;
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::relay::Relay;
use support::relay_mode::RelayMode;
use support::{job, wait_for};

const SIZE: DeploymentSize = DeploymentSize {
    entries: 2,
    engines: 1,
    dispatchers: 1,
    services: 1,
};
/// Kind of the end marks of jobs.
const ENDS: &str = "job-ends";
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Submits a job whose items take long, and waits until its first items run.
fn submit_long_job(deployment: &Deployment, id: &str) {
    for engine in &deployment.engines {
        engine.set_event_interval(Duration::from_secs(1));
    }
    deployment.submit(0, id, &job(1, 1, 12, 100));
    wait_for("items run", || deployment.running() >= 8);
}

fn end(deployment: &Deployment, entry: usize, id: &str) -> Option<u16> {
    let path = format!("/-/lots/{id}");
    let reply = deployment.call(entry, "DELETE", &path, &[], b"");
    reply.map(|reply| reply.status)
}

/// Whether the body of the last item, which has not run, is served.
fn serves_body(deployment: &Deployment, id: &str) -> Option<bool> {
    let path = format!("/-/items/{id}?id=00010017");
    let reply = deployment.call(0, "GET", &path, &[], b"")?;
    match reply.status {
        200 => Some(true),
        404 => Some(false),
        _ => None,
    }
}

#[test]
fn an_end_whose_write_got_no_answer_is_acknowledged_once_it_is_known() {
    let deployment = Deployment::start(SIZE);
    submit_long_job(&deployment, "job-a");
    deployment.store.set_faults(StoreFaults {
        lose_responses_of: Some((ENDS, 1)),
        ..StoreFaults::default()
    });
    assert_eq!(end(&deployment, 0, "job-a"), Some(200));
    wait_for("the job has ended", || {
        serves_body(&deployment, "job-a") == Some(false)
    });
}

#[test]
fn an_end_that_may_have_been_written_is_never_answered_as_not_run() {
    let deployment = Deployment::start(SIZE);
    submit_long_job(&deployment, "job-a");
    deployment.store.set_faults(StoreFaults {
        lose_responses_of: Some((ENDS, u64::MAX)),
        ..StoreFaults::default()
    });
    let status = end(&deployment, 0, "job-a").expect("an answer");
    assert!(!PROMISES.contains(&status), "{status}");
    // The store's watch has told the leader of the mark.
    wait_for("the job has ended", || {
        serves_body(&deployment, "job-a") == Some(false)
    });
    assert_eq!(end(&deployment, 1, "job-a"), Some(200), "it has ended");
}

#[test]
fn an_end_that_the_store_refuses_has_not_run() {
    let deployment = Deployment::start(SIZE);
    submit_long_job(&deployment, "job-a");
    deployment.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    assert_eq!(end(&deployment, 0, "job-a"), Some(503));
    deployment.store.set_faults(StoreFaults::default());
    wait_for("a body is served", || {
        serves_body(&deployment, "job-a").is_some()
    });
    assert_eq!(serves_body(&deployment, "job-a"), Some(true));
}

#[test]
fn an_end_whose_leader_is_lost_on_the_way_is_never_answered_as_not_run() {
    let size = DeploymentSize {
        dispatchers: 2,
        ..SIZE
    };
    let mut deployment = Deployment::start(size);
    submit_long_job(&deployment, "job-a");
    let leader = deployment.leader().expect("a leader");
    deployment.store.set_faults(StoreFaults {
        lose_responses_of: Some((ENDS, u64::MAX)),
        ..StoreFaults::default()
    });
    let status = thread::scope(|scope| {
        let ended = scope.spawn(|| end(&deployment, 0, "job-a"));
        thread::sleep(Duration::from_millis(100));
        deployment.dispatchers[leader].process().signal("KILL");
        ended.join().expect("the call returns")
    });
    let status = status.expect("an answer");
    assert!(!PROMISES.contains(&status), "{status}");
    deployment.dispatchers[leader].start();
}

#[test]
fn an_end_whose_leader_answers_no_more_is_never_answered_as_not_run() {
    let relays = std::cell::RefCell::new(None);
    let deployment = Deployment::start_nodes(SIZE, |node| {
        if node.role == "dispatcher" {
            let to_leader = Relay::spawn(node.peers);
            node.advertised = to_leader.addr();
            relays.replace(Some(to_leader));
        }
    });
    let to_leader = relays.take().expect("one dispatcher");
    submit_long_job(&deployment, "job-a");
    to_leader.set(RelayMode::Cut {
        to_target: false,
        from_target: true,
    });
    let status = end(&deployment, 0, "job-a").expect("an answer");
    to_leader.set(RelayMode::Pass);
    wait_for("a body is asked for", || {
        serves_body(&deployment, "job-a").is_some()
    });
    let has_ended = serves_body(&deployment, "job-a") == Some(false);
    assert!(!has_ended || !PROMISES.contains(&status), "{status}");
    assert!(has_ended, "the leader has got the call");
}
