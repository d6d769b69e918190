//! Placement of items by their routes: the scheduler and the agents decide alike, and nothing is sent that the
//! newest known configuration forbids.

mod batch_support;

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use batch_support::{MODEL, POLICY, step};
use indexmap::IndexMap;
use oleanderlock::batch::agent_report::AgentReport;
use oleanderlock::batch::job::Job;
use oleanderlock::batch::job_policy::JobPolicy;
use oleanderlock::batch::scheduler::Scheduler;
use oleanderlock::batch::scheduler_config::SchedulerConfig;
use oleanderlock::prelude::*;
use oleanderlock::routing::client_limits::ClientLimits;
use oleanderlock::routing::deployment_config::DeploymentConfig;
use oleanderlock::routing::placement::Placement;
use oleanderlock::routing::route::Route;
use oleanderlock::routing::route_kind::RouteKind;
use oleanderlock::routing::route_table::RouteTable;
use oleanderlock::routing::route_target::RouteTarget;

const HOST: &str = "host";
const PATH: &str = "/rollout/j";
const SERVICES: [&str; 3] = ["a", "b", "c"];
const ITEMS: usize = 24;

fn route(prefix: &str, targets: Vec<RouteTarget>) -> Route {
    Route {
        name: prefix.to_owned(),
        host: HOST.to_owned(),
        path_prefix: prefix.to_owned(),
        kind: RouteKind::Rollout,
        timeout: Millis(1000),
        objective: Millis(1000),
        attempts: 3,
        rank: 0,
        targets,
        resumable: false,
        run_objective: Millis(7500),
        keep: Millis(40_000),
        single_version: false,
        public: false,
    }
}

/// Draws a configuration with up to two routes that match the job, or none.
fn draw_routes(u: &mut Unstructured<'_>, version: u64) -> arbitrary::Result<RouteTable> {
    let mut routes = vec![route("/other/", vec![target("a", 1)])];
    for prefix in ["/", "/rollout/"] {
        if u.ratio(1, 2)? {
            let mut targets = Vec::new();
            for service in &SERVICES[..u.int_in_range(1..=3)?] {
                targets.push(target(service, u.int_in_range(0..=2)?));
            }
            routes.push(route(prefix, targets));
        }
    }
    Ok(RouteTable::new(DeploymentConfig {
        version,
        routes,
        services: IndexMap::new(),
        limits: ClientLimits {
            header_bytes: 16_384,
            body_bytes: 1_000_000,
            header_time: Millis(3000),
            idle_time: Millis(15_000),
        },
        workspaces: None,
    }))
}

fn target(service: &str, weight: u32) -> RouteTarget {
    RouteTarget {
        service: service.to_owned(),
        weight,
    }
}

fn policy(targets: &[RouteTarget]) -> JobPolicy {
    JobPolicy {
        targets: targets.to_vec(),
        ..POLICY.clone()
    }
}

fn report(service: &str) -> AgentReport {
    AgentReport {
        agent: format!("agent-{service}"),
        service: Some(service.to_owned()),
        slots: 2,
        weights: IndexMap::from([(MODEL.to_owned(), 1)]),
        ..AgentReport::default()
    }
}

// Guards against two copies of the decision with two answers.
#[test]
fn scheduler_and_agents_decide_alike() {
    arbtest(|u| {
        let routes = draw_routes(u, 1)?;
        let found = routes.find(HOST, PATH);
        for service in SERVICES {
            let placement = Placement::of(Some(&routes), HOST, PATH, service);
            let expected = match found {
                None => Placement::Nowhere,
                Some(route) if policy(&route.targets).allows(Some(service)) => Placement::Here,
                Some(_) => Placement::Elsewhere,
            };
            assert_eq!(placement, expected);
        }
        Ok(())
    })
    .budget_ms(500);
}

#[test]
fn a_route_that_is_not_known_is_not_a_removed_one() {
    let placement = Placement::of(None, HOST, PATH, "a");
    assert_eq!(placement, Placement::Unknown);
}

// Guards against items that are assigned, or left waiting at an engine, against the newest configuration,
// however often the route moves, disappears and comes back.
#[test]
fn nothing_is_assigned_that_the_newest_configuration_forbids() {
    arbtest(|u| {
        let mut scheduler = Scheduler::new(SchedulerConfig::default());
        let job = Job {
            id: "j".to_owned(),
            ..step(ITEMS, 1, |_| None)
        };
        scheduler.accept(job, policy(&[]), Millis(0));
        let mut held: IndexMap<&str, Vec<String>> = IndexMap::new();
        for version in 1..=u.int_in_range(1..=8)? {
            let now = Millis(version * 1000);
            let routes = draw_routes(u, version)?;
            match routes.find(HOST, PATH) {
                Some(route) => scheduler.set_policy("j", policy(&route.targets)),
                None => scheduler.remove_route("j", now),
            }
            for service in SERVICES {
                let items = held.entry(service).or_default().clone();
                let held = AgentReport {
                    waiting: items.clone(),
                    items,
                    ..report(service)
                };
                scheduler.apply_report(now, held);
            }
            let is_here = |service: &str| {
                Placement::of(Some(&routes), HOST, PATH, service) == Placement::Here
            };
            let recalls = scheduler.recalls(now);
            for service in SERVICES {
                let agent = format!("agent-{service}");
                let of_agent = recalls.iter().filter(|recall| recall.agent == agent);
                if !is_here(service) {
                    assert_eq!(of_agent.count(), held[service].len());
                }
            }
            for recall in recalls {
                scheduler.return_item(&recall.agent, &recall.key, None);
                let service = recall.agent.trim_start_matches("agent-");
                let name = recall.key.to_string();
                held[service].retain(|item| *item != name);
            }
            for assignment in scheduler.assign(now) {
                let service = assignment.agent.trim_start_matches("agent-");
                assert!(is_here(service), "{assignment:?} {routes:?}");
                held[service].push(assignment.key.to_string());
            }
        }
        Ok(())
    })
    .budget_ms(1000);
}
