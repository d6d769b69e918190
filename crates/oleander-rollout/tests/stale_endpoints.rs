//! Endpoints that leave while the leading dispatcher, which passes the list of endpoints on, has lost
//! the store or is no longer reached.

mod support;

use oleander_platform_standins::stand_in_service::StandInService;
use oleander_platform_standins::store_faults::StoreFaults;
use serde_json::json;
use std::cell::RefCell;
use std::thread;
use std::time::{Duration, Instant};
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::relay::Relay;
use support::relay_mode::RelayMode;
use support::{job, wait_for};

/// Time within which an endpoint that leaves must get no more requests: the default of
/// `bounds.leave_within`.
const LEAVE_WITHIN: Duration = Duration::from_secs(2);
/// Time for which calls are sent after that.
const CALLS_AFTER: Duration = Duration::from_secs(4);
/// Time within which a write of the leader has timed out.
const HANG_BEFORE: Duration = Duration::from_millis(2500);
/// Interval of the calls.
const CALL_INTERVAL: Duration = Duration::from_millis(25);
/// Events of a run that takes over three seconds.
const LONG_RUN: usize = 210;

/// How those that get their endpoints from the leader lose what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// The leader no longer reaches the store, and answers.
    StoreOfLeader,
    /// The leader no longer answers.
    Leader,
}

/// How an endpoint leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    /// Its entry says so.
    Announced,
    /// Its entry is removed.
    Unannounced,
}

/// A deployment with one leader, whose connections go through relays.
struct RelayedLeader {
    deployment: Deployment,
    to_store: Relay,
    to_leader: Relay,
}

impl RelayedLeader {
    fn start(engines: usize) -> Self {
        let size = DeploymentSize {
            entries: 1,
            engines,
            dispatchers: 1,
            services: 2,
        };
        let relays = RefCell::new(None);
        let deployment = Deployment::start_nodes(size, |node| {
            if node.role == "dispatcher" {
                let to_store = Relay::spawn(node.store);
                let to_leader = Relay::spawn(node.peers);
                node.store = to_store.addr();
                node.advertised = to_leader.addr();
                relays.replace(Some((to_store, to_leader)));
            }
        });
        let (to_store, to_leader) = relays.take().expect("one dispatcher");
        wait_for("the entry gets its endpoints from the leader", || {
            let log = deployment.entries[0].process().log();
            log.contains("event=leader-regained") && call(&deployment)
        });
        Self {
            deployment,
            to_store,
            to_leader,
        }
    }

    fn lose(&self, loss: Loss) {
        let relay = match loss {
            Loss::StoreOfLeader => &self.to_store,
            Loss::Leader => &self.to_leader,
        };
        relay.set(RelayMode::Cut {
            to_target: true,
            from_target: true,
        });
    }

    /// Makes service 0 leave and returns when the store has been told.
    fn leave(&self, leave: Leave) -> Instant {
        let store = &self.deployment.store;
        match leave {
            Leave::Announced => {
                let mut entry = self.deployment.services[0].entry("desk");
                entry["state"] = json!("draining");
                store.put("servers", "desk-0", &entry);
            }
            Leave::Unannounced => store.remove("servers", "desk-0"),
        }
        Instant::now()
    }
}

/// Sends a call to an entry; returns whether it was served.
fn call(deployment: &Deployment) -> bool {
    let headers = [("request-id", "r"), ("deadline-ms", "1400")];
    let reply = deployment.call(0, "POST", "/calls/x", &headers, b"body");
    reply.is_some_and(|reply| reply.status == 200)
}

fn assert_no_arrival_after(service: &StandInService, left_at: Instant, case: &str) {
    let late = service.arrivals().into_iter();
    let late = late.filter(|at| *at > left_at + LEAVE_WITHIN);
    let late: Vec<Duration> = late.map(|at| at - left_at).collect();
    assert_eq!(late, [], "{case}: after the endpoint has left");
}

fn check_calls(loss: Loss) {
    for leave in [Leave::Announced, Leave::Unannounced] {
        let case = format!("{loss:?}, {leave:?}");
        let relayed = RelayedLeader::start(0);
        relayed.lose(loss);
        let left_at = relayed.leave(leave);
        while left_at.elapsed() < LEAVE_WITHIN + CALLS_AFTER {
            assert!(call(&relayed.deployment), "{case}: service 1 serves");
            thread::sleep(CALL_INTERVAL);
        }
        assert_no_arrival_after(&relayed.deployment.services[0], left_at, &case);
    }
}

#[test]
fn no_call_reaches_an_endpoint_that_left_while_the_leader_had_lost_the_store() {
    check_calls(Loss::StoreOfLeader);
}

#[test]
fn no_call_reaches_an_endpoint_that_left_while_the_leader_was_lost() {
    check_calls(Loss::Leader);
}

#[test]
fn no_call_reaches_an_endpoint_that_disappeared_while_writes_of_the_leader_time_out() {
    let relayed = RelayedLeader::start(1);
    let deployment = &relayed.deployment;
    deployment.submit(0, "job-a", &job(1, 1, 1, 2));
    deployment.read_all(0, "job-a", 2);
    let store = &deployment.store;
    store.set_faults(StoreFaults {
        hang_writes: true,
        ..StoreFaults::default()
    });
    let hung_at = Instant::now();
    let mut left_at = None;
    while hung_at.elapsed() < HANG_BEFORE + LEAVE_WITHIN + CALLS_AFTER {
        if left_at.is_none() && hung_at.elapsed() > HANG_BEFORE {
            left_at = Some(relayed.leave(Leave::Unannounced));
        }
        assert!(call(deployment), "service 1 serves");
        // The leader reads the store for this, with success.
        deployment.read(0, "job-a", 2);
        thread::sleep(CALL_INTERVAL);
    }
    let left_at = left_at.expect("the endpoint has left");
    assert_no_arrival_after(&deployment.services[0], left_at, "writes time out");
}

#[test]
fn no_scoring_call_reaches_an_endpoint_that_left_while_the_leader_was_lost() {
    for loss in [Loss::StoreOfLeader, Loss::Leader] {
        for leave in [Leave::Announced, Leave::Unannounced] {
            let case = format!("{loss:?}, {leave:?}");
            let relayed = RelayedLeader::start(1);
            let deployment = &relayed.deployment;
            let body = job(1, 1, 4, LONG_RUN);
            deployment.submit(0, "job-a", &body);
            wait_for("all items run", || deployment.running() == 8);
            relayed.lose(loss);
            let left_at = relayed.leave(leave);
            let scored_before = deployment.services[1].calls_run().len();
            wait_for("scoring calls are sent", || {
                deployment.services[1].calls_run().len() >= scored_before + 4
            });
            thread::sleep(Duration::from_millis(500));
            assert!(
                left_at.elapsed() > LEAVE_WITHIN,
                "{case}: the runs are long"
            );
            assert_no_arrival_after(&deployment.services[0], left_at, &case);
        }
    }
}
