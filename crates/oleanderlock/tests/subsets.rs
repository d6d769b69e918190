//! The stable subset of agents that one entry uses, in a fleet of the size that the product is
//! designed for.

use bytes::Bytes;
use oleanderlock::subset::{Candidate, SubsetSize, choose_subset};
use std::collections::HashMap;

const AGENTS: usize = 870;
const ENTRIES: usize = 350;
const DOMAINS: usize = 7;
const SIZE: SubsetSize = SubsetSize { per_target: 24 };

fn fleet() -> Vec<Candidate> {
    let candidate = |number: usize| Candidate {
        instance: format!("agent-{number}").into(),
        domain: format!("domain-{}", number % DOMAINS).into(),
        target: if number.is_multiple_of(5) {
            "desk".into()
        } else {
            "advisor".into()
        },
    };
    (0..AGENTS).map(candidate).collect()
}

fn entries(count: usize) -> Vec<Bytes> {
    (0..count)
        .map(|entry| format!("entry-{entry}").into())
        .collect()
}

fn subset(entry: usize, fleet: &[Candidate]) -> Vec<usize> {
    let entries = entries(ENTRIES);
    choose_subset(&entries[entry], &entries, fleet, SIZE)
}

#[test]
fn each_entry_uses_as_many_agents_in_every_domain() {
    let fleet = fleet();
    for entry in 0..ENTRIES {
        let mut counts: HashMap<(&[u8], &[u8]), usize> = HashMap::new();
        for index in subset(entry, &fleet) {
            let agent = &fleet[index];
            *counts.entry((&agent.target, &agent.domain)).or_default() += 1;
        }
        assert_eq!(counts.values().sum::<usize>(), 2 * SIZE.per_target);
        assert_eq!(counts.len(), 2 * DOMAINS);
        let fair = SIZE.per_target / DOMAINS;
        assert!(
            counts
                .values()
                .all(|count| (fair..=fair + 1).contains(count))
        );
    }
}

#[test]
fn each_agent_is_used_by_about_as_many_entries() {
    let fleet = fleet();
    let mut users = vec![0usize; AGENTS];
    (0..ENTRIES)
        .flat_map(|entry| subset(entry, &fleet))
        .for_each(|index| users[index] += 1);
    for (target, agents) in [("desk", AGENTS / 5), ("advisor", AGENTS - AGENTS / 5)] {
        let mean = ENTRIES * SIZE.per_target / agents;
        let spread = mean / 5;
        let of_target = fleet
            .iter()
            .zip(&users)
            .filter(|(agent, _)| agent.target == target);
        for (agent, count) in of_target {
            assert!(
                count.abs_diff(mean) <= spread,
                "{agent:?} {count} of {mean}"
            );
        }
    }
}

/// Returns how many agents of one subset are missing in another.
fn lost(before: &[Bytes], after: &[Bytes]) -> usize {
    before.iter().filter(|name| !after.contains(name)).count()
}

fn names(chosen: &[usize], fleet: &[Candidate]) -> Vec<Bytes> {
    chosen
        .iter()
        .map(|index| fleet[*index].instance.clone())
        .collect()
}

#[test]
fn losing_one_agent_replaces_two_agents_at_most() {
    let fleet = fleet();
    let mut rest = fleet.clone();
    rest.remove(100);
    for entry in 0..ENTRIES {
        let before = names(&subset(entry, &fleet), &fleet);
        let after = names(&subset(entry, &rest), &rest);
        assert!(lost(&before, &after) <= 2);
        assert_eq!(after.len(), before.len());
    }
}

#[test]
fn losing_one_entry_replaces_one_agent_in_each_domain_at_most() {
    let fleet = fleet();
    let all = entries(ENTRIES);
    let rest: Vec<Bytes> = all
        .iter()
        .filter(|name| *name != "entry-7")
        .cloned()
        .collect();
    for entry in &rest {
        let before = names(&choose_subset(entry, &all, &fleet, SIZE), &fleet);
        let after = names(&choose_subset(entry, &rest, &fleet, SIZE), &fleet);
        assert!(lost(&before, &after) <= 2 * DOMAINS);
        assert_eq!(after.len(), before.len());
    }
}

#[test]
fn the_order_of_the_list_does_not_matter() {
    let fleet = fleet();
    let mut reversed = fleet.clone();
    reversed.reverse();
    for entry in 0..20 {
        let mut mirrored: Vec<usize> = subset(entry, &reversed)
            .into_iter()
            .map(|index| AGENTS - 1 - index)
            .collect();
        mirrored.sort_unstable();
        assert_eq!(mirrored, subset(entry, &fleet));
    }
}

#[test]
fn reports_stay_within_the_control_traffic_of_a_node() {
    let agents = 2 * SubsetSize::for_targets(2).per_target;
    let interval = SubsetSize::report_interval(agents, 120, 7_000 / 2);
    assert!(interval.0 <= 2_000, "report interval {interval}");
    assert_eq!(SubsetSize::for_targets(100).per_target, 1);
}
