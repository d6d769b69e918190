//! Endpoints that have announced that they are leaving, through restarts and incomplete entries.

use oleanderlock::prelude::*;
use oleanderlock::routing::announcer::Announcer;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::endpoint_state::EndpointState;
use oleanderlock::routing::leaving_endpoints::LeavingEndpoints;

/// Unix time at which announcements are read, in milliseconds.
const NOW: u64 = 1_790_000_000_000;

fn entry(instance: &str, started_unix_ms: Option<u64>) -> EndpointEntry {
    EndpointEntry {
        instance: instance.to_owned(),
        started_unix_ms,
        service: "desk".to_owned(),
        software: None,
        addr: "10.0.0.9:8080".parse().expect("an address"),
        domain: "z".to_owned(),
        slots: 6,
        state: EndpointState::Ready,
        warm_up: Millis::ZERO,
        weights: Default::default(),
    }
}

/// Returns the announcer that answered a request sent at `asked`, when the list names the start `listed`.
fn answered(listed: Option<u64>, asked: u64) -> Announcer {
    Announcer::Listed { listed, asked }
}

#[test]
fn an_incarnation_that_the_list_does_not_name_yet_is_leaving() {
    let mut leaving = LeavingEndpoints::default();
    assert!(leaving.record("a", answered(Some(NOW - 9000), NOW)));
    assert!(!leaving.record("a", answered(Some(NOW - 9000), NOW + 5)));
    assert!(leaving.contains(&entry("a", Some(NOW - 9000))));
    assert!(leaving.contains(&entry("a", Some(NOW - 500))));
    assert!(!leaving.contains(&entry("a", Some(NOW + 6))));
}

#[test]
fn the_clock_of_an_endpoint_may_be_ahead() {
    let mut leaving = LeavingEndpoints::default();
    leaving.record("a", answered(Some(NOW + 2000), NOW));
    assert!(leaving.contains(&entry("a", Some(NOW + 2000))));
    assert!(!leaving.contains(&entry("a", Some(NOW + 2001))));
}

#[test]
fn only_the_incarnation_that_announced_it_is_leaving() {
    let mut leaving = LeavingEndpoints::default();
    assert!(leaving.record("a", Announcer::StartedAt(NOW - 500)));
    assert!(!leaving.record("a", Announcer::StartedAt(NOW - 500)));
    assert!(leaving.contains(&entry("a", Some(NOW - 500))));
    assert!(leaving.contains(&entry("a", Some(NOW - 900))));
    assert!(!leaving.contains(&entry("a", Some(NOW - 499))));
    assert!(!leaving.contains(&entry("b", Some(NOW - 500))));
}

#[test]
fn a_later_incarnation_can_leave_too_and_an_older_announcement_does_not_bring_it_back() {
    let mut leaving = LeavingEndpoints::default();
    leaving.record("a", Announcer::StartedAt(1));
    assert!(leaving.record("a", Announcer::StartedAt(7)));
    assert!(!leaving.record("a", Announcer::StartedAt(1)));
    assert!(leaving.contains(&entry("a", Some(7))));
    assert!(!leaving.contains(&entry("a", Some(8))));
}

#[test]
fn without_a_known_start_all_incarnations_up_to_the_announcement_are_leaving() {
    let mut leaving = LeavingEndpoints::default();
    assert!(leaving.record("a", answered(None, NOW)));
    assert!(!leaving.record("a", answered(None, NOW + 10)));
    assert!(leaving.contains(&entry("a", None)));
    assert!(leaving.contains(&entry("a", Some(NOW + 10))));
    assert!(!leaving.contains(&entry("a", Some(NOW + 11))));
}

#[test]
fn an_entry_without_a_start_does_not_bring_an_endpoint_back() {
    let mut leaving = LeavingEndpoints::default();
    leaving.record("a", Announcer::StartedAt(NOW - 500));
    assert!(leaving.contains(&entry("a", None)));
}

#[test]
fn memory_is_bounded_and_the_newest_announcements_are_kept() {
    let mut leaving = LeavingEndpoints::default();
    for n in 0..5000_u64 {
        leaving.record(&format!("i-{n}"), Announcer::StartedAt(n));
    }
    let remembered =
        (0..5000_u64).filter(|n| leaving.contains(&entry(&format!("i-{n}"), Some(*n))));
    assert_eq!(
        remembered.collect::<Vec<_>>(),
        (904..5000).collect::<Vec<_>>()
    );
}
