//! How evenly entries spread over agents, and how much a change of the fleet moves.

use bytes::Bytes;
use oleanderlock::affinity_score::{hash_bytes, score};
use oleanderlock::subset::{Candidate, SubsetSize, choose_subset};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;
use strum::VariantArray;

const DOMAINS: usize = 7;
const TARGETS: usize = 10;

/// Entries and agents of one fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Entries.
    pub entries: usize,
    /// Agents.
    pub agents: usize,
}

/// A way to choose the agents of one entry.
#[derive(Clone, Copy, Debug, strum::Display, strum::VariantArray)]
#[strum(serialize_all = "lowercase")]
enum Way {
    /// The product's choice.
    Ring,
    /// The greatest rendezvous weights for each target, for comparison.
    Rendezvous,
}

type Links = Vec<BTreeSet<Bytes>>;

/// Prints imbalance and churn for each size.
pub fn run(sizes: &[FleetSize]) {
    println!(
        "subset entries agents links/entry links/agent_min..max imbalance churn_agent_gone_% churn_entry_gone_% churn_tenth_added_% churn_domain_lost_% domains/target_min choose_us"
    );
    for way in Way::VARIANTS {
        for size in sizes {
            print_row(*way, *size);
        }
    }
}

fn candidates(agents: usize) -> Vec<Candidate> {
    (0..agents)
        .map(|at| Candidate {
            instance: format!("agent-{at}").into(),
            domain: format!("domain-{}", at % DOMAINS).into(),
            target: format!("target-{}", at / DOMAINS % TARGETS).into(),
        })
        .collect()
}

fn entry_names(entries: usize) -> Vec<Bytes> {
    (0..entries)
        .map(|at| format!("entry-{at}").into())
        .collect()
}

fn links(way: Way, entries: &[Bytes], candidates: &[Candidate]) -> Links {
    let size = SubsetSize::for_targets(TARGETS);
    let choose = |entry| match way {
        Way::Ring => choose_subset(entry, entries, candidates, size),
        Way::Rendezvous => choose_by_weight(entry, candidates, size),
    };
    let names = |chosen: Vec<usize>| {
        let chosen = chosen.iter();
        chosen.map(|at| candidates[*at].instance.clone()).collect()
    };
    entries.iter().map(|entry| names(choose(entry))).collect()
}

fn choose_by_weight(entry: &Bytes, candidates: &[Candidate], size: SubsetSize) -> Vec<usize> {
    let key = hash_bytes(entry);
    let weight = |at: &usize| score(key, hash_bytes(&candidates[*at].instance));
    let mut ranked: Vec<usize> = (0..candidates.len()).collect();
    ranked.sort_by_cached_key(|at| std::cmp::Reverse(weight(at)));
    let mut used: BTreeMap<&Bytes, usize> = BTreeMap::new();
    ranked.retain(|at| {
        let count = used.entry(&candidates[*at].target).or_default();
        *count += 1;
        *count <= size.per_target
    });
    ranked
}

/// Share of the links before that are gone or new after, in percent.
fn churn(before: &Links, after: &Links) -> f64 {
    let pairs = before.iter().zip(after);
    let moved: usize = pairs.map(|(a, b)| a.symmetric_difference(b).count()).sum();
    let all: usize = before.iter().map(BTreeSet::len).sum();
    moved as f64 / all as f64 * 100.0
}

fn print_row(way: Way, size: FleetSize) {
    let all = candidates(size.agents);
    let entries = entry_names(size.entries);
    let started = Instant::now();
    let before = links(way, &entries, &all);
    let choose_us = started.elapsed().as_secs_f64() * 1e6 / size.entries as f64;
    let uses = |agent: &Candidate| {
        before
            .iter()
            .filter(|of| of.contains(&agent.instance))
            .count()
    };
    let counts: Vec<usize> = all.iter().map(uses).collect();
    let total: usize = counts.iter().sum();
    let most = counts.iter().max().copied().unwrap_or_default();
    let least = counts.iter().min().copied().unwrap_or_default();
    let agent_gone = churn(&before, &links(way, &entries, &all[1..]));
    let entry_gone = churn(&before[1..].to_vec(), &links(way, &entries[1..], &all));
    let grown = candidates(size.agents + size.agents.div_ceil(10));
    let added = churn(&before, &links(way, &entries, &grown));
    let outside = |agent: &&Candidate| agent.domain != "domain-0";
    let rest: Vec<Candidate> = all.iter().filter(outside).cloned().collect();
    let lost = churn(&before, &links(way, &entries, &rest));
    println!(
        "{way} {} {} {:.1} {least}..{most} {:.2} {agent_gone:.2} {entry_gone:.2} {added:.1} {lost:.1} {} {choose_us:.0}",
        size.entries,
        size.agents,
        total as f64 / size.entries as f64,
        most as f64 * all.len() as f64 / total as f64,
        least_spread(&before, &all),
    );
}

/// Fewest failure domains among which any entry has the agents of one target.
fn least_spread(links: &Links, all: &[Candidate]) -> usize {
    let spread = |of: &BTreeSet<Bytes>, target: &Bytes| {
        let used = all
            .iter()
            .filter(|a| a.target == *target && of.contains(&a.instance));
        used.map(|agent| &agent.domain)
            .collect::<BTreeSet<_>>()
            .len()
    };
    let targets: BTreeSet<&Bytes> = all.iter().map(|agent| &agent.target).collect();
    let spreads = links
        .iter()
        .flat_map(|of| targets.iter().map(move |t| spread(of, t)));
    spreads.min().unwrap_or_default()
}
