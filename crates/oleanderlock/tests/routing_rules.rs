//! Lookup of routes, choice of an endpoint, and the retry rule after a failed attempt.

use indexmap::IndexMap;
use oleanderlock::prelude::*;
use oleanderlock::routing::after_failure::AfterFailure;
use oleanderlock::routing::attempt_failure::AttemptFailure;
use oleanderlock::routing::call_state::CallState;
use oleanderlock::routing::candidate::Candidate;
use oleanderlock::routing::client_limits::ClientLimits;
use oleanderlock::routing::deployment_config::DeploymentConfig;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::endpoint_load::EndpointLoad;
use oleanderlock::routing::endpoint_pick::pick;
use oleanderlock::routing::endpoint_state::EndpointState;
use oleanderlock::routing::endpoint_table::EndpointTable;
use oleanderlock::routing::retry_rule::{after_failure, retry_after};
use oleanderlock::routing::route::Route;
use oleanderlock::routing::route_kind::RouteKind;
use oleanderlock::routing::route_table::RouteTable;
use oleanderlock::routing::route_target::RouteTarget;

fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "desk.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Millis(1500),
        objective: Millis(150),
        attempts: 3,
        rank: 2,
        targets: vec![
            RouteTarget {
                service: "desk".to_owned(),
                weight: 90,
            },
            RouteTarget {
                service: "spare".to_owned(),
                weight: 10,
            },
        ],
        resumable: false,
        run_objective: Millis(1500),
        keep: Millis(40_000),
        single_version: false,
        public: false,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(DeploymentConfig {
        version: 1,
        routes,
        services: IndexMap::new(),
        limits: ClientLimits {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_time: Millis(3000),
            idle_time: Millis(15_000),
        },
        workspaces: None,
    })
}

fn endpoint(instance: &str, domain: &str) -> EndpointEntry {
    EndpointEntry {
        instance: instance.to_owned(),
        started_unix_ms: None,
        service: "desk".to_owned(),
        software: None,
        addr: "127.0.0.1:1000".parse().expect("the address is valid"),
        domain: domain.to_owned(),
        slots: 6,
        state: EndpointState::Ready,
        warm_up: Millis::ZERO,
        weights: IndexMap::new(),
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![route("short", "/a/"), route("long", "/a/b/")]);
    let name = |host, path| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(name("desk.example", "/a/b/c"), Some("long"));
    assert_eq!(name("desk.example", "/a/c"), Some("short"));
    assert_eq!(name("desk.example", "/b/"), None);
    assert_eq!(name("other.example", "/a/c"), None);
}

#[test]
fn shares_follow_the_weights() {
    let route = route("r", "/a/");
    let spare = (0..1000).filter(|draw| route.pick_service(*draw) == Some("spare"));
    assert_eq!(spare.count(), 100);
}

#[test]
fn a_draining_endpoint_takes_no_new_calls() {
    let mut table = EndpointTable::default();
    table.put(endpoint("a", "z"));
    let mut leaving = endpoint("b", "z");
    leaving.state = EndpointState::Draining;
    table.put(leaving);
    let ready: Vec<&str> = table
        .ready("desk")
        .map(|one| one.instance.as_str())
        .collect();
    assert_eq!(ready, ["a"]);
}

fn picked(loads: [EndpointLoad; 2], tried: &[String]) -> Option<String> {
    let entries = [endpoint("near", "z"), endpoint("far", "y")];
    let candidates: Vec<Candidate<'_>> = entries
        .iter()
        .zip(loads)
        .map(|(entry, load)| Candidate {
            entry,
            load,
            limit_delay: Millis::ZERO,
        })
        .collect();
    pick(Millis(1000), "z", &candidates, tried, 0).map(|entry| entry.instance.clone())
}

#[test]
fn the_own_failure_domain_is_preferred_among_equal_endpoints() {
    let loads = [EndpointLoad::default(); 2];
    assert_eq!(picked(loads, &[]), Some("near".to_owned()));
}

#[test]
fn a_loaded_endpoint_is_not_chosen() {
    let mut loads = [EndpointLoad::default(); 2];
    loads[0].in_flight = 6;
    assert_eq!(picked(loads, &[]), Some("far".to_owned()));
}

#[test]
fn a_failed_endpoint_is_avoided_but_chosen_if_no_other_is_left() {
    let mut loads = [EndpointLoad::default(); 2];
    loads[0].record_failure(Millis(900));
    assert_eq!(picked(loads, &[]), Some("far".to_owned()));
    assert_eq!(picked(loads, &["far".to_owned()]), Some("near".to_owned()));
    let both = ["far".to_owned(), "near".to_owned()];
    assert_eq!(picked(loads, &both), None);
}

#[test]
fn consecutive_failures_lengthen_the_avoidance_and_an_answer_ends_it() {
    let mut load = EndpointLoad::default();
    load.record_failure(Millis(0));
    let first = load.avoid_until;
    load.record_failure(Millis(0));
    assert!(load.avoid_until > first);
    load.record_answer(Millis(20));
    assert_eq!(load.avoid_until, Millis::ZERO);
}

fn call(kind: RouteKind) -> CallState {
    CallState {
        repeatable: kind.is_idempotent(),
        attempts_made: 1,
        attempts_max: 3,
        may_have_run: false,
        time_left: Millis(1000),
        has_candidate: true,
    }
}

#[test]
fn a_call_that_is_not_idempotent_is_not_repeated_if_it_may_have_run() {
    let unsafe_call = call(RouteKind::Unsafe);
    let unknown = after_failure(unsafe_call, AttemptFailure::Unknown);
    assert_eq!(unknown, AfterFailure::FailUnknown);
    let not_run = after_failure(unsafe_call, AttemptFailure::NotRun);
    assert_eq!(not_run, AfterFailure::Again);
}

#[test]
fn a_call_is_reported_as_not_run_only_if_no_attempt_may_have_run() {
    let mut after_unknown = call(RouteKind::Safe);
    after_unknown.may_have_run = true;
    after_unknown.has_candidate = false;
    let outcome = after_failure(after_unknown, AttemptFailure::NotRun);
    assert_eq!(outcome, AfterFailure::FailUnknown);
    let mut refused = call(RouteKind::Unsafe);
    refused.has_candidate = false;
    let outcome = after_failure(refused, AttemptFailure::NotRun);
    assert!(matches!(outcome, AfterFailure::RefuseNotRun(_)));
}

#[test]
fn a_call_has_no_more_attempts_than_its_route_allows() {
    let mut safe = call(RouteKind::Safe);
    safe.attempts_made = 3;
    let outcome = after_failure(safe, AttemptFailure::Unknown);
    assert_eq!(outcome, AfterFailure::FailUnknown);
}

#[test]
fn a_refused_caller_can_retry_within_its_time() {
    for left in [0, 100, 400, 2000, 60_000] {
        let after = retry_after(Millis(left));
        assert!(after >= Millis(50) && after <= Millis(1000));
        assert!(left < 200 || after.0 * 2 < left);
    }
}
