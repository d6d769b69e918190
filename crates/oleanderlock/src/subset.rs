//! The stable subset of agents that one entry uses.

use crate::affinity_score::{hash_bytes, score};
use crate::prelude::*;
use bytes::Bytes;
use indexmap::IndexMap;

/// An agent that an entry may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the instance.
    pub instance: Bytes,
    /// Its failure domain.
    pub domain: Bytes,
    /// Target that it serves.
    pub target: Bytes,
}

/// How many agents an entry uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSize {
    /// Agents for each target.
    pub per_target: usize,
}

/// Returns the indices of the candidates that the entry named `entry` uses, in ascending order.
///
/// For each target the places are dealt out to the failure domains in turn, and within a domain
/// to the candidates with the highest score for this entry. So a change of one candidate changes
/// one place at most in its own domain, and entries spread evenly over the candidates.
pub fn choose_subset(entry: &[u8], candidates: &[Candidate], size: SubsetSize) -> Vec<usize> {
    let entry = hash_bytes(entry);
    let mut chosen: Vec<usize> = group_by_target(candidates)
        .into_values()
        .flat_map(|domains| deal(entry, candidates, domains, size.per_target))
        .collect();
    chosen.sort_unstable();
    chosen
}

type Domains<'a> = IndexMap<&'a Bytes, Vec<usize>>;

fn group_by_target(candidates: &[Candidate]) -> IndexMap<&Bytes, Domains<'_>> {
    let mut targets: IndexMap<&Bytes, Domains> = IndexMap::new();
    for (index, candidate) in candidates.iter().enumerate() {
        let domains = targets.entry(&candidate.target).or_default();
        domains.entry(&candidate.domain).or_default().push(index);
    }
    targets
}

fn deal(entry: u64, candidates: &[Candidate], domains: Domains, places: usize) -> Vec<usize> {
    let rank = |index: &usize| score(entry, hash_bytes(&candidates[*index].instance));
    let mut hands: Vec<Vec<usize>> = domains.into_values().collect();
    for hand in &mut hands {
        hand.sort_by_cached_key(rank);
    }
    hands.sort_by_cached_key(|hand| std::cmp::Reverse(hand.last().map(rank)));
    let mut dealt = Vec::new();
    while dealt.len() < places && hands.iter().any(|hand| !hand.is_empty()) {
        let round = hands.iter_mut().filter_map(Vec::pop);
        dealt.extend(round.take(places - dealt.len()));
    }
    dealt
}

impl SubsetSize {
    /// Agents for each target that keep the spread of load small.
    const PER_TARGET: usize = 24;

    /// Most agents for which a node's control traffic may be spent.
    const MOST: usize = 64;

    /// Returns the size for a fleet that serves `targets` targets.
    pub fn for_targets(targets: usize) -> Self {
        let fair = Self::MOST / targets.max(1);
        Self {
            per_target: fair.clamp(1, Self::PER_TARGET),
        }
    }

    /// Returns the interval of load reports at which `agents` agents stay within the rate.
    pub fn report_interval(
        agents: usize,
        bytes_per_report: usize,
        bytes_per_second: usize,
    ) -> Millis {
        let bytes = (agents * bytes_per_report) as u64;
        Millis(bytes * 1000 / bytes_per_second.max(1) as u64)
    }
}
