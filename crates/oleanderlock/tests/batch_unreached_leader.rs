//! Agents that don't reach the leader, as a standby counts them.

use oleanderlock::batch::unreached_leader::{UnreachedLeader, must_be_replaced};
use oleanderlock::prelude::*;
use oleanderlock::routing::caller_list::CallerList;

/// Time for which a leader has led that counts its agents.
const SETTLED: Millis = Millis(2000);

#[test]
fn a_leader_is_replaced_if_more_agents_miss_it_than_it_hears() {
    assert!(must_be_replaced(2, SETTLED, 1));
    assert!(must_be_replaced(1, SETTLED, 0));
    assert!(!must_be_replaced(1, SETTLED, 2));
    assert!(!must_be_replaced(0, SETTLED, 0));
}

#[test]
fn equal_numbers_of_agents_do_not_make_leaders_alternate() {
    for agents in 0..5 {
        assert!(!must_be_replaced(agents, SETTLED, agents));
    }
}

#[test]
fn a_new_leader_that_has_not_heard_its_agents_yet_is_not_replaced() {
    for leads_for in [0, 500, 1999] {
        assert!(!must_be_replaced(9, Millis(leads_for), 0));
    }
}

#[test]
fn agents_that_report_often_count_once() {
    let mut unreached = UnreachedLeader::default();
    for at in 0..5 {
        unreached.record(Millis(at * 300), 7, "agent-a");
        unreached.record(Millis(at * 300), 7, "agent-b");
    }
    assert_eq!(unreached.count(Millis(1300), 7), 2);
}

#[test]
fn agents_that_reach_the_leader_again_count_no_longer() {
    let mut unreached = UnreachedLeader::default();
    unreached.record(Millis(0), 7, "agent-a");
    unreached.record(Millis(2000), 7, "agent-b");
    assert_eq!(unreached.count(Millis(3000), 7), 2);
    assert_eq!(unreached.count(Millis(3001), 7), 1);
    assert_eq!(unreached.count(Millis(5001), 7), 0);
}

#[test]
fn reports_of_another_leader_do_not_count() {
    let mut unreached = UnreachedLeader::default();
    unreached.record(Millis(0), 7, "agent-a");
    unreached.record(Millis(0), 6, "agent-b");
    assert_eq!(unreached.count(Millis(0), 7), 1);
    assert_eq!(unreached.count(Millis(0), 8), 0);
    unreached.record(Millis(1), 8, "agent-b");
    assert_eq!(unreached.count(Millis(1), 7), 0);
    assert_eq!(unreached.count(Millis(1), 8), 1);
}

#[test]
fn a_leader_hears_the_agents_whose_last_message_is_recent() {
    let mut callers = CallerList::default();
    callers.record_agent("agent-a", Millis(0));
    callers.record_agent("agent-b", Millis(1500));
    callers.record_entry("entry-a", Millis(1500));
    let heard = |at: u64| callers.heard_agents(Millis(at), SETTLED);
    assert_eq!(heard(2000), 2);
    assert_eq!(heard(2001), 1);
    assert_eq!(heard(3501), 0);
}
