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
/// Time for which a leader counts an agent as heard after its last report.
const HEARD_WITHIN: Duration = Duration::from_secs(2);
const NO_CONNECTION: RelayMode = RelayMode::Cut {
    to_target: true,
    from_target: true,
};

/// A deployment of which one dispatcher leads.
struct Led {
    deployment: Deployment,
    leader: usize,
    /// Leads to the leader, from all but the agents near it.
    relay: Relay,
}

impl Led {
    /// Returns the dispatcher that does not lead at first.
    fn other(&self) -> usize {
        1 - self.leader
    }
}

/// Starts a deployment whose first `near` agents reach the leader directly. The other agents, the entry
/// and the other dispatcher reach it through a relay.
fn start(near: usize) -> Led {
    let relays: Vec<Relay> = (0..SIZE.dispatchers)
        .map(|_| Relay::spawn(([127, 0, 0, 1], 0).into()))
        .collect();
    let mut deployment = Deployment::start_nodes(SIZE, |node| {
        let number = node.name.strip_prefix("dispatcher-");
        if let Some(number) = number.and_then(|text| text.parse::<usize>().ok()) {
            relays[number].redirect(node.peers);
            node.advertised = relays[number].addr();
        }
    });
    let leader = deployment.leader().expect("a leader");
    let relay = relays[leader].clone();
    let peers = deployment.dispatchers[leader].peers;
    let store = &deployment.store;
    let direct = store.listen_renamed(&relay.addr().to_string(), &peers.to_string());
    for agent in &mut deployment.agents[..near] {
        agent.kill();
        agent.store = direct;
        agent.start();
    }
    // From then on the reports of the processes before don't count.
    thread::sleep(HEARD_WITHIN);
    wait_for("the leader hears all agents", || {
        let pulse = deployment.store.get("dispatcher-pulses", "leader");
        pulse.is_some_and(|pulse| pulse["spec"]["heard_agents"] == SIZE.engines)
    });
    Led {
        deployment,
        leader,
        relay,
    }
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
    let led = start(1);
    let deployment = &led.deployment;
    let body = submit(deployment, 90);
    led.relay.set(NO_CONNECTION);
    let took = until_leads(deployment, led.other());
    assert!(took < TAKEN_OVER_WITHIN, "{took:?}");
    check_results(&deployment.read_all(0, "job-a", 180), &body);
    let leads = deployment.leader();
    led.relay.set(RelayMode::Pass);
    thread::sleep(Duration::from_secs(2));
    assert_eq!(deployment.leader(), leads, "the leadership goes back");
}

#[test]
fn a_leader_that_two_of_three_agents_reach_stays() {
    let led = start(2);
    led.relay.set(NO_CONNECTION);
    let cut_at = Instant::now();
    while cut_at.elapsed() < STAYS_FOR {
        assert_eq!(led.deployment.leader(), Some(led.leader));
        thread::sleep(Duration::from_millis(200));
    }
}

#[test]
fn a_dispatcher_that_no_agent_reaches_when_it_wins_is_replaced() {
    let mut led = start(0);
    let (leader, other) = (led.leader, led.other());
    led.deployment.dispatchers[other].kill();
    led.relay.set(NO_CONNECTION);
    // Only this dispatcher is left, so it leads again after it has handed over.
    let log = |led: &Led| led.deployment.dispatchers[leader].process().log();
    wait_for("it hands over", || log(&led).contains("event=unheard"));
    wait_for("it wins again", || {
        log(&led).matches("event=leading ").count() == 2
    });
    led.deployment.dispatchers[other].start();
    let took = until_leads(&led.deployment, other);
    assert!(took < TAKEN_OVER_WITHIN, "{took:?}");
}
