//! Registered dispatchers of which most are gone: no wait and no cost grows with their number.

use arbtest::arbitrary::{self, Unstructured};
use arbtest::arbtest;
use indexmap::IndexMap;
use oleanderlock::dispatchers::absences::{Absences, GONE_AFTER};
use oleanderlock::dispatchers::candidacy::{DELAY_MAX, candidacy_delay};
use oleanderlock::dispatchers::peer_reach::PeerReach;
use oleanderlock::prelude::*;
use std::net::SocketAddr;

/// Time within which a standby sees that another one leads.
const SEEN_WITHIN: Millis = Millis(100);

/// The wait of each standby for all names before its own, present or not.
fn delay_by_all_names(node: &str, names: &[String]) -> Millis {
    let before = names.iter().filter(|name| name.as_str() < node).count();
    Millis(120 * before as u64)
}

fn delays(living: &[String], names: &[String]) -> Vec<Millis> {
    let names = || names.iter().map(String::as_str);
    let delays = living.iter().map(|node| candidacy_delay(node, names()));
    delays.collect()
}

/// Returns how many standbys try to lead before they see that the first one does.
fn tries(delays: &[Millis]) -> usize {
    let first = delays.iter().min().copied().unwrap_or_default();
    let seen = first.plus(SEEN_WITHIN);
    delays.iter().filter(|delay| **delay <= seen).count()
}

fn names(from: usize, count: usize) -> Vec<String> {
    let numbers = from..from + count;
    numbers.map(|n| format!("store-c-{n:04}")).collect()
}

// Guards against a vacant leadership that lasts longer the more dispatchers were ever replaced (review/13).
#[test]
fn a_standby_does_not_wait_for_dispatchers_that_are_gone() {
    let all = names(0, 112);
    let living = &all[110..];
    let first = delays(living, &all).into_iter().min();
    assert!(first.is_some_and(|first| first <= DELAY_MAX), "{first:?}");
    let by_all_names = living.iter().map(|node| delay_by_all_names(node, &all));
    assert!(by_all_names.min() > Some(Millis::from_secs(13)));
}

// Guards against standbys that all call the store at once when the leader hands over.
#[test]
fn few_of_many_standbys_try_to_lead_at_the_same_time() {
    let all = names(0, 30);
    assert_eq!(tries(&delays(&all, &all)), 1);
    let all = names(0, 140);
    assert!(tries(&delays(&all[110..], &all)) <= 15);
}

#[test]
fn the_delay_of_a_standby_is_bounded_whatever_is_registered() {
    arbtest(|u| {
        let names: Vec<String> = u.arbitrary()?;
        let node: String = u.arbitrary()?;
        let delay = candidacy_delay(&node, names.iter().map(String::as_str));
        assert!(delay <= DELAY_MAX);
        let before = names.iter().filter(|name| **name < node).count();
        assert!(before > 3 || delay == delay_by_all_names(&node, &names));
        Ok(())
    })
    .budget_ms(500);
}

fn addr(n: u16) -> SocketAddr {
    ([127, 0, 0, 1], n).into()
}

/// Draws registered dispatchers, each with whether it is there.
fn draw_dispatchers(u: &mut Unstructured<'_>) -> arbitrary::Result<IndexMap<SocketAddr, bool>> {
    let gone = u.int_in_range(0..=150u16)?;
    let living = u.int_in_range(1..=20u16)?;
    let mut dispatchers: IndexMap<SocketAddr, bool> = (0..gone).map(|n| (addr(n), false)).collect();
    for n in gone..gone + living {
        let at = u.int_in_range(0..=dispatchers.len())?;
        dispatchers.shift_insert(at, addr(n), true);
    }
    Ok(dispatchers)
}

// Guards against a call to each dispatcher that was ever registered, and against a search that asks the same
// ones that are gone again and again.
#[test]
fn a_search_asks_a_bounded_number_at_a_time_and_finds_one_that_is_there() {
    const MOST: usize = 32;
    arbtest(|u| {
        let dispatchers = draw_dispatchers(u)?;
        let mut reach = PeerReach::default();
        let mut now = Millis::from_secs(100);
        let mut rounds = 0;
        loop {
            let asked = reach.order(now, dispatchers.keys().copied(), MOST);
            assert!(asked.len() <= MOST);
            rounds += 1;
            now = now.plus(Millis(450));
            for addr in &asked {
                reach.record(now, *addr, dispatchers[addr]);
            }
            if asked.iter().any(|addr| dispatchers[addr]) {
                break;
            }
        }
        assert!(rounds <= dispatchers.len().div_ceil(MOST));
        // From then on the one that is there is asked first.
        let first = reach.order(now, dispatchers.keys().copied(), MOST)[0];
        assert!(dispatchers[&first]);
        Ok(())
    })
    .budget_ms(1000);
}

#[test]
fn the_last_registered_are_asked_first() {
    let reach = PeerReach::default();
    let registered = (0..110).map(addr);
    let asked = reach.order(Millis::from_secs(1), registered, 3);
    assert_eq!(asked, [addr(109), addr(108), addr(107)]);
}

#[test]
fn an_address_is_remembered_as_failed_for_a_limited_time() {
    let mut reach = PeerReach::default();
    let now = Millis::from_secs(100);
    reach.record(now, addr(1), false);
    assert!(reach.has_failed(now, &addr(1)));
    assert!(!reach.has_failed(now.plus(Millis::from_secs(11)), &addr(1)));
    reach.record(now.plus(Millis(1)), addr(1), true);
    assert!(!reach.has_failed(now.plus(Millis(1)), &addr(1)));
}

// Guards against the removal of a dispatcher that restarts or is cut off for a moment, and against an entry
// that stays for good.
#[test]
fn only_a_dispatcher_that_has_been_silent_for_long_counts_as_gone() {
    arbtest(|u| {
        let mut absences = Absences::default();
        let (mut now, mut silent_since) = (Millis::from_secs(100), None);
        for _ in 0..u.int_in_range(1..=30)? {
            now = now.plus(Millis(u.int_in_range(100..=8000)?));
            let answered = u.ratio(1, 8)?;
            absences.record(now, "a", answered);
            silent_since = if answered {
                None
            } else {
                silent_since.or(Some(now))
            };
            let gone = !absences.gone(now, 4).is_empty();
            let silent_for = silent_since.map_or(Millis::ZERO, |since| now.since(since));
            assert!(!gone || silent_for >= GONE_AFTER);
        }
        for _ in 0..4 {
            now = now.plus(GONE_AFTER);
            absences.record(now, "a", false);
        }
        assert_eq!(absences.gone(now, 4), ["a"]);
        absences.retain(|_| false);
        assert!(absences.gone(now, 4).is_empty());
        Ok(())
    })
    .budget_ms(500);
}
