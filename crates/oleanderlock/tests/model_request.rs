//! Model check of the protocol for non-idempotent requests; see `docs/spec/request.md`.

mod request_support;

use oleanderlock::guards::Guards;
use request_support::explore::{Found, peak_mib};
use request_support::request_model::check;
use request_support::request_world::{Call, Key, Scenario};
use std::time::Instant;

/// Maximum number of expanded states in a normal test run.
const QUICK_STATES: usize = 120_000;
/// Maximum number of expanded states in `make model-check`.
const DEEP_STATES: usize = 10_000_000;

/// `deadline` and `horizon` are the latest starts of one and of any attempt of the request, in
/// milliseconds of the clock of the model.
const fn call(request: u128, fingerprint: u64, key: Key, deadline: u64, horizon: u64) -> Call {
    Call {
        request,
        fingerprint,
        key,
        deadline,
        horizon,
    }
}

fn scenario(name: &'static str, calls: &[Call], agents: usize, max_time: u64) -> Scenario {
    Scenario {
        name,
        calls: calls.to_vec(),
        agents,
        capacity: 4,
        max_time,
        faults: 2,
        guards: Guards::ALL,
    }
}

/// One call without a key and two agents.
fn keyless() -> Scenario {
    scenario("keyless", &[call(1, 7, Key::None, 3, 3)], 2, 5)
}

/// A call and its retry with the same issued key, through two entries.
fn issued() -> Scenario {
    let calls = [call(1, 7, Key::Issued, 3, 3), call(1, 7, Key::Issued, 6, 3)];
    scenario("issued key", &calls, 1, 5)
}

/// Two different requests with the same issued key.
fn reused() -> Scenario {
    let calls = [call(1, 7, Key::Issued, 3, 3), call(1, 8, Key::Issued, 3, 3)];
    scenario("reused key", &calls, 1, 4)
}

/// A call and its retry with the same chosen key, through two entries that propose different
/// agents.
fn chosen() -> Scenario {
    let calls = [call(1, 7, Key::Chosen, 3, 3), call(1, 7, Key::Chosen, 3, 3)];
    scenario("chosen key", &calls, 2, 3)
}

/// Two requests at an agent whose ledger has room for only one.
fn full() -> Scenario {
    let calls = [call(1, 7, Key::None, 1, 1), call(2, 8, Key::None, 4, 4)];
    Scenario {
        capacity: 1,
        ..scenario("full ledger", &calls, 1, 4)
    }
}

fn report(scenario: &Scenario, found: &Found, since: Instant) {
    let end = found.end();
    println!(
        "{}: {} states, depth {}, {end}, at most {} faults, {} ms, peak {} MiB",
        scenario.name,
        found.states,
        found.depth,
        scenario.faults,
        since.elapsed().as_millis(),
        peak_mib()
    );
    for step in &found.trace {
        println!("    {step}");
    }
}

fn run(scenario: &Scenario, limit: usize) -> Found {
    let since = Instant::now();
    let found = check(scenario, limit);
    report(scenario, &found, since);
    found
}

fn assert_holds(scenario: &Scenario, limit: usize) {
    let found = run(scenario, limit);
    assert_eq!(found.violated, None, "scenario {}", scenario.name);
}

#[test]
fn request_invariants_hold() {
    for scenario in [keyless(), issued(), reused(), chosen(), full()] {
        assert_holds(&scenario, QUICK_STATES);
    }
}

#[test]
#[ignore = "deep bounds, for `make model-check`"]
fn request_invariants_hold_deep() {
    for scenario in [keyless(), issued(), reused(), chosen(), full()] {
        assert_holds(
            &Scenario {
                faults: 4,
                ..scenario
            },
            DEEP_STATES,
        );
    }
}

/// Without faults, longer traces fit into [`QUICK_STATES`].
fn no_faults(scenario: Scenario) -> Scenario {
    Scenario {
        faults: 0,
        ..scenario
    }
}

fn one_fault(scenario: Scenario) -> Scenario {
    Scenario {
        faults: 1,
        ..scenario
    }
}

/// A guard that is switched off, and the invariant that is violated without it.
struct Mutation {
    guard: &'static str,
    invariant: &'static str,
    scenario: Scenario,
}

fn without(
    guard: &'static str,
    invariant: &'static str,
    scenario: Scenario,
    switch_off: fn(&mut Guards),
) -> Mutation {
    let mut guards = Guards::ALL;
    switch_off(&mut guards);
    Mutation {
        guard,
        invariant,
        scenario: Scenario { guards, ..scenario },
    }
}

fn mutations() -> Vec<Mutation> {
    let once = "a request runs at most once";
    let not_run = "work reported as not run never runs";
    let own = "an answer is that of its own request";
    vec![
        without("incarnation", once, issued(), |g| g.incarnation = false),
        without("request_identity", once, issued(), |g| {
            g.request_identity = false
        }),
        without("tombstone", not_run, keyless(), |g| g.tombstone = false),
        without("refusal_floor", not_run, one_fault(full()), |g| {
            g.refusal_floor = false
        }),
        without("pruned_records", not_run, issued(), |g| {
            g.pruned_records = false
        }),
        without("fingerprint", own, reused(), |g| g.fingerprint = false),
        without("retry_only_not_run", once, keyless(), |g| {
            g.retry_only_not_run = false
        }),
        without("current_ticket", not_run, keyless(), |g| {
            g.current_ticket = false
        }),
        without("lost_agent", not_run, keyless(), |g| g.lost_agent = false),
        without("unknown_earlier_call", not_run, issued(), |g| {
            g.unknown_earlier_call = false
        }),
        without("conditional_binding", once, no_faults(chosen()), |g| {
            g.conditional_binding = false
        }),
        without("confirmed_binding", once, no_faults(chosen()), |g| {
            g.confirmed_binding = false
        }),
    ]
}

#[test]
fn request_mutations_are_caught() {
    for mutation in mutations() {
        let found = check(&mutation.scenario, QUICK_STATES);
        println!(
            "scenario {} without guard {}: violated {:?} after {} states, {} steps",
            mutation.scenario.name,
            mutation.guard,
            found.violated,
            found.states,
            found.trace.len()
        );
        for step in &found.trace {
            println!("    {step}");
        }
        assert_eq!(
            found.violated,
            Some(mutation.invariant),
            "scenario {} without guard {}",
            mutation.scenario.name,
            mutation.guard
        );
    }
}
