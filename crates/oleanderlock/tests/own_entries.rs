//! Which of several entries at an address is that of the endpoint there.

use indexmap::IndexMap;
use oleanderlock::prelude::*;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::endpoint_state::EndpointState;
use oleanderlock::routing::endpoint_table::EndpointTable;
use oleanderlock::routing::own_entry::OwnEntry;
use std::net::SocketAddr;

fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000))
}

fn entry(instance: &str, service: &str, started_unix_ms: Option<u64>) -> EndpointEntry {
    EndpointEntry {
        instance: instance.to_owned(),
        started_unix_ms,
        service: service.to_owned(),
        software: None,
        addr: addr(),
        domain: "z".to_owned(),
        slots: 6,
        state: EndpointState::Ready,
        warm_up: Millis::ZERO,
        weights: IndexMap::new(),
    }
}

/// Returns the instance of the entry that is found in either order of the list.
fn found(own: &OwnEntry, entries: &[EndpointEntry], reported: Option<u64>) -> Vec<String> {
    let find = |entries: Vec<EndpointEntry>| {
        let table = EndpointTable::from_entries(entries);
        let found = own.find(&table, addr(), reported, |service| service == "llm");
        found.expect("an entry").instance.clone()
    };
    let mut found = vec![
        find(entries.to_vec()),
        find(entries.iter().rev().cloned().collect()),
    ];
    found.dedup();
    found
}

#[test]
fn the_newest_incarnation_is_found_if_nothing_contradicts_it() {
    let entries = [entry("old", "llm", Some(1)), entry("new", "llm", Some(2))];
    assert_eq!(found(&OwnEntry::default(), &entries, None), ["new"]);
}

#[test]
fn a_later_start_than_the_endpoint_reports_hides_no_entry() {
    let entries = [
        entry("own", "llm", Some(1)),
        entry("foreign", "llm", Some(2)),
    ];
    assert_eq!(found(&OwnEntry::default(), &entries, Some(1)), ["own"]);
    let entries = [entry("own", "llm", Some(1)), entry("foreign", "llm", None)];
    assert_eq!(found(&OwnEntry::default(), &entries, Some(1)), ["own"]);
}

#[test]
fn an_entry_of_an_unknown_service_hides_no_entry() {
    let entries = [entry("own", "llm", None), entry("foreign", "kiosk", None)];
    assert_eq!(found(&OwnEntry::default(), &entries, Some(1)), ["own"]);
    let entries = [
        entry("own", "llm", None),
        entry("foreign", "kiosk", Some(9)),
    ];
    assert_eq!(found(&OwnEntry::default(), &entries, None), ["own"]);
}

#[test]
fn an_endpoint_that_is_listed_late_is_found_although_an_earlier_entry_is_left() {
    // The address is used again by an endpoint of another service, which reports its own start.
    let entries = [entry("gone", "llm", Some(1)), entry("new", "desk", Some(2))];
    assert_eq!(found(&OwnEntry::default(), &entries, Some(2)), ["new"]);
}

#[test]
fn an_entry_that_the_endpoint_has_refused_goes_after_all_others() {
    let (own, foreign) = (entry("own", "llm", None), entry("foreign", "llm", None));
    let mut said = OwnEntry::default();
    said.refuse(&foreign);
    assert_eq!(found(&said, &[own.clone(), foreign.clone()], None), ["own"]);
    said.refuse(&own);
    assert!(said.has_refused(&own));
    // The same instance may start again at the address.
    let again = entry("own", "llm", Some(5));
    assert!(!said.has_refused(&again));
    assert_eq!(found(&said, &[again, foreign], None), ["own"]);
}

#[test]
fn the_entry_in_use_stays_in_use_while_another_one_comes_and_goes() {
    let (own, foreign) = (entry("own", "llm", None), entry("foreign", "llm", None));
    let mut said = OwnEntry::default();
    said.confirm(&own);
    assert_eq!(found(&said, &[own.clone(), foreign.clone()], None), ["own"]);
    said.refuse(&foreign);
    let table = EndpointTable::from_entries(vec![own.clone()]);
    said.retain_listed(&table);
    assert!(!said.has_refused(&foreign), "it is listed no more");
}

#[test]
fn a_ready_entry_goes_before_one_that_is_draining() {
    let mut leaving = entry("leaving", "llm", None);
    leaving.state = EndpointState::Draining;
    let mut said = OwnEntry::default();
    said.confirm(&leaving);
    assert_eq!(
        found(&said, &[leaving, entry("new", "llm", None)], None),
        ["new"]
    );
}
