//! Deployments that have run for long: nothing grows with what has been listed.

mod support;

use serde_json::Value;
use std::time::Duration;
use support::deployment::Deployment;
use support::deployment_size::SMALL;
use support::http::call;
use support::node::Node;
use support::{check_results, job, wait_for};

/// Jobs of a test, whose results take more than the memory that is left for them.
const JOBS: u64 = 10;
/// Groups of two items of each job.
const GROUPS: usize = 50;
/// Events of the shortest run of a job.
const EVENTS: usize = 12;

fn id(step: u64) -> String {
    format!("job-{step}")
}

/// Runs all jobs to their end and returns their results.
fn run_jobs(deployment: &Deployment) -> Vec<Vec<Value>> {
    for engine in &deployment.engines {
        engine.set_event_interval(Duration::from_millis(2));
    }
    let bodies: Vec<Value> = (0..JOBS).map(|step| job(step, 1, GROUPS, EVENTS)).collect();
    for (step, body) in (0..).zip(&bodies) {
        deployment.submit(0, &id(step), body);
    }
    let results = (0..).zip(&bodies).map(|(step, body)| {
        let results = deployment.read_all(0, &id(step), 2 * GROUPS);
        check_results(&results, body);
        results
    });
    results.collect()
}

fn end(deployment: &Deployment, step: u64) {
    let path = format!("/-/lots/{}", id(step));
    wait_for("the job is ended", || {
        let reply = deployment.call(0, "DELETE", &path, &[], b"");
        reply.is_some_and(|reply| reply.status == 200)
    });
}

/// Returns the value of a counter of events at the leader.
fn events_at_leader(deployment: &Deployment, event: &str) -> u64 {
    let leader = deployment.leader().expect("a leader");
    let metrics = deployment.dispatchers[leader].metrics;
    let reply = call(metrics, "GET", "/metrics", &[], b"").expect("metrics");
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    let name = format!("oleanderlock_events_total{{event=\"{event}\"}} ");
    let mut values = text.lines().filter_map(|line| line.strip_prefix(&name));
    values
        .next()
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

// Guards against a leader whose memory grows with each result, and against results that can't be read
// again, or stand at other positions, once they have left the memory.
#[test]
fn results_that_left_the_memory_are_read_again_at_their_positions() {
    let mut deployment = Deployment::start_nodes(SMALL, |node| node.memory_mb = 1);
    let results = run_jobs(&deployment);
    for step in 1..JOBS {
        end(&deployment, step);
    }
    let check_all = |deployment: &Deployment| {
        for (step, expected) in (0..).zip(&results) {
            assert_eq!(&deployment.read_all(1, &id(step), 2 * GROUPS), expected);
            let rest = deployment.read(1, &id(step), 70).expect("an answer");
            let read = rest["results"].as_array().expect("results");
            assert_eq!(read, &expected[70..]);
            let beyond = deployment.read(1, &id(step), 5000).expect("an answer");
            assert_eq!(beyond["results"], serde_json::json!([]));
        }
    };
    check_all(&deployment);
    assert!(events_at_leader(&deployment, "results_reloaded") > 0);
    let leader = deployment.leader().expect("a leader");
    deployment.dispatchers[leader].kill();
    check_all(&deployment);
}

// Guards against a store that grows for good, and against positions that change because a chunk with
// results of an open job was deleted.
#[test]
fn what_need_not_be_readable_is_deleted_and_open_jobs_keep_their_results() {
    let mut deployment = Deployment::start_nodes(SMALL, |node| {
        node.more_settings = "keep_results = 2s\n".to_owned();
        node.value_bytes = 20_000;
    });
    let results = run_jobs(&deployment);
    assert!(
        !deployment.store.specs("job-parts").is_empty(),
        "the jobs have parts"
    );
    // The third job stays open.
    for step in (0..JOBS).filter(|step| *step != 2) {
        end(&deployment, step);
    }
    wait_for("ended jobs are deleted", || {
        let left = |kind: &str| deployment.store.specs(kind).len();
        left("jobs") == 1 && left("job-ends") == 0
    });
    let parts = deployment.store.specs("job-parts").len();
    let chunks = deployment.store.specs("results").len();
    assert_eq!(deployment.read_all(1, &id(2), 2 * GROUPS), results[2]);
    let leader = deployment.leader().expect("a leader");
    deployment.dispatchers[leader].kill();
    deployment.dispatchers[leader].start();
    assert_eq!(deployment.read_all(1, &id(2), 2 * GROUPS), results[2]);
    let status = |step: u64| {
        let path = format!("/-/lots/{}?after=0", id(step));
        deployment
            .call(0, "GET", &path, &[], b"")
            .map(|reply| reply.status)
    };
    assert_eq!(status(0), Some(404));
    // A new leader deletes too.
    end(&deployment, 2);
    wait_for(
        "the last job and all chunks but the newest are deleted",
        || {
            let left = |kind: &str| deployment.store.specs(kind).len();
            left("jobs") == 0 && left("job-parts") == 0 && left("results") <= 1
        },
    );
    assert!(parts > 0 && chunks > 1);
    let body = job(99, 1, 4, 3);
    deployment.submit(0, "job-later", &body);
    check_results(&deployment.read_all(0, "job-later", 8), &body);
}

/// Returns a job whose items take about 6 KB each.
fn large_job(step: u64) -> Value {
    let mut body = job(step, 1, GROUPS, 3);
    for item in body["items"].as_array_mut().expect("items") {
        item["scorer_url"]["body"] = "eHh4".repeat(1500).into();
    }
    body
}

// Guards against a leader that accepts jobs until its machine has no memory left.
#[test]
fn jobs_beyond_the_memory_of_the_leader_are_refused_before_anything_is_written() {
    let deployment = Deployment::start_nodes(SMALL, |node| node.memory_mb = 4);
    for engine in &deployment.engines {
        engine.set_event_interval(Duration::from_secs(20));
    }
    let mut step = 0;
    wait_for("a job is refused", || {
        step += 1;
        assert!(step < 20, "all jobs are accepted");
        deployment.try_submit(0, &id(step), &large_job(step)) == Some(503)
    });
    assert_eq!(deployment.store.get("jobs", &id(step)), None);
    let parts = deployment.store.specs("job-parts").len();
    let path = format!("/rollout/{}", id(step));
    let headers = [("request-id", id(step)), ("deadline-ms", "3000".to_owned())];
    let headers = headers.each_ref().map(|(name, value)| (*name, &**value));
    let body = large_job(step).to_string();
    let reply = deployment.call(0, "POST", &path, &headers, body.as_bytes());
    let reply = reply.expect("an answer");
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(deployment.store.specs("job-parts").len(), parts);
    // A trainer that repeats the submission of an accepted job is told so.
    let repeated = deployment.try_submit(0, &id(1), &large_job(1));
    assert_eq!(repeated, Some(202));
    let other = deployment.try_submit(1, &id(step), &large_job(step));
    assert_eq!(other, Some(503));
    for accepted in 1..step {
        end(&deployment, accepted);
    }
    deployment.submit(0, &id(step), &large_job(step));
}

// Guards against entries that refuse jobs for good: the next leader may be of a build that says nothing of memory.
#[test]
fn jobs_are_accepted_while_no_leader_says_that_it_has_no_memory() {
    let mut deployment = Deployment::start_nodes(SMALL, |node| node.memory_mb = 4);
    for engine in &deployment.engines {
        engine.set_event_interval(Duration::from_secs(20));
    }
    let mut step = 0;
    wait_for("a job is refused", || {
        step += 1;
        assert!(step < 20, "all jobs are accepted");
        deployment.try_submit(0, &id(step), &large_job(step)) == Some(503)
    });
    deployment.dispatchers.iter_mut().for_each(Node::kill);
    deployment.submit(0, &id(step), &large_job(step));
}

/// Writes `count` ended jobs of about 200 KB each to the store.
fn write_ended_jobs(deployment: &Deployment, count: usize) {
    let mut job = deployment.store.specs("jobs").remove(0);
    let item = &mut job["job"]["items"][0];
    item["body_base64"] = "eHh4".repeat(50_000).into();
    job["more_parts"] = 0.into();
    for n in 0..count {
        let name = format!("ended-{n:04}");
        job["job"]["id"] = name.as_str().into();
        deployment.store.put("job-ends", &name, &true.into());
        deployment.store.put("jobs", &name, &job);
    }
}

/// Starts a dispatcher, kills the leader, and returns the memory of the new leader at its peak.
fn take_over(deployment: &mut Deployment) -> u64 {
    let old = deployment.leader().expect("a leader");
    let new = 1 - old;
    if deployment.dispatchers[new].process.is_none() {
        deployment.dispatchers[new].start();
    }
    wait_for("the standby knows the leader", || {
        let log = deployment.dispatchers[new].process().log();
        log.contains("event=leader-known")
    });
    deployment.dispatchers[old].kill();
    wait_for("the standby leads", || {
        let log = deployment.dispatchers[new].process().log();
        log.contains("event=leading")
    });
    deployment.dispatchers[new].process().peak_memory()
}

// Guards against a new leader that passes the memory of its machine as it reads the jobs of the last minutes.
#[test]
fn a_takeover_takes_no_more_memory_with_ten_times_the_ended_jobs() {
    let mut deployment = Deployment::start(SMALL);
    let body = job(0, 1, 4, 3);
    deployment.submit(0, &id(0), &body);
    check_results(&deployment.read_all(0, &id(0), 8), &body);
    write_ended_jobs(&deployment, 20);
    let few = take_over(&mut deployment);
    write_ended_jobs(&deployment, 200);
    let many = take_over(&mut deployment);
    assert!(
        many < few + few / 10,
        "{few} bytes with 20 jobs, {many} with 200"
    );
    check_results(&deployment.read_all(1, &id(0), 8), &body);
}
