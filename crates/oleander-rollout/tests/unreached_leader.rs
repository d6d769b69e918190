//! Leaders that most agents don't reach, although the store and some of the agents do.

mod support;

use std::thread;
use std::time::{Duration, Instant};
use support::deployment::Deployment;
use support::deployment_size::DeploymentSize;
use support::relay::Relay;
use support::relay_mode::RelayMode;
use support::{check_results, job, wait_for};

const SIZE: DeploymentSize = DeploymentSize {
    entries: 1,
    engines: 3,
    dispatchers: 2,
    services: 1,
};
/// Longest time until another dispatcher leads: the rule allows items at no worker for 5 s.
const TAKEN_OVER_WITHIN: Duration = Duration::from_secs(5);
/// Time in which a leader that enough agents reach is observed to stay.
const STAYS_FOR: Duration = Duration::from_secs(8);
const NO_CONNECTION: RelayMode = RelayMode::Cut {
    to_target: true,
    from_target: true,
};

/// Starts a deployment whose first dispatcher leads, and whose agents but for the first `near` ones reach
/// it through the returned relay, like the entry and the other dispatcher.
fn start(near: usize) -> (Deployment, Relay) {
    let relay = Relay::spawn(([127, 0, 0, 1], 0).into());
    let mut deployment = Deployment::start_nodes(SIZE, |node| {
        if node.name == "dispatcher-0" {
            relay.redirect(node.peers);
            node.advertised = relay.addr();
        }
    });
    assert_eq!(deployment.leader(), Some(0));
    let peers = deployment.dispatchers[0].peers;
    let store = &deployment.store;
    let direct = store.listen_renamed(&relay.addr().to_string(), &peers.to_string());
    for agent in &mut deployment.agents[..near] {
        agent.kill();
        agent.store = direct;
        agent.start();
    }
    (deployment, relay)
}

/// Waits until a dispatcher leads; returns the time that it took.
fn until_leads(deployment: &Deployment, dispatcher: usize) -> Duration {
    let began = Instant::now();
    wait_for("another dispatcher leads", || {
        deployment.leader() == Some(dispatcher)
    });
    began.elapsed()
}

fn submit(deployment: &Deployment, groups: usize) -> serde_json::Value {
    for engine in &deployment.engines {
        engine.set_event_interval(Duration::from_millis(60));
    }
    let body = job(1, 1, groups, 10);
    deployment.submit(0, "job-a", &body);
    wait_for("items run at all engines", || deployment.running() == 24);
    body
}

#[test]
fn a_leader_that_only_one_of_three_agents_reaches_is_replaced() {
    let (deployment, relay) = start(1);
    let body = submit(&deployment, 90);
    relay.set(NO_CONNECTION);
    let took = until_leads(&deployment, 1);
    assert!(took < TAKEN_OVER_WITHIN, "{took:?}");
    check_results(&deployment.read_all(0, "job-a", 180), &body);
    let leads = deployment.leader();
    relay.set(RelayMode::Pass);
    thread::sleep(Duration::from_secs(2));
    assert_eq!(deployment.leader(), leads, "the leadership goes back");
}

#[test]
fn a_leader_that_two_of_three_agents_reach_stays() {
    let (deployment, relay) = start(2);
    relay.set(NO_CONNECTION);
    let cut_at = Instant::now();
    while cut_at.elapsed() < STAYS_FOR {
        assert_eq!(deployment.leader(), Some(0));
        thread::sleep(Duration::from_millis(200));
    }
}

#[test]
fn a_dispatcher_that_no_agent_reaches_when_it_wins_is_replaced() {
    let (mut deployment, relay) = start(0);
    deployment.dispatchers[1].kill();
    relay.set(NO_CONNECTION);
    // Only this dispatcher is left, so it leads again after it has handed over.
    let log = |deployment: &Deployment| deployment.dispatchers[0].process().log();
    wait_for("it hands over", || {
        log(&deployment).contains("event=unheard")
    });
    wait_for("it wins again", || {
        log(&deployment).matches("event=leading ").count() == 2
    });
    deployment.dispatchers[1].start();
    let took = until_leads(&deployment, 1);
    assert!(took < TAKEN_OVER_WITHIN, "{took:?}");
}
