//! Stable subset of agents that one entry uses (deterministic aperture).

use crate::affinity_score::hash_bytes;
use crate::prelude::*;
use bytes::Bytes;
use std::collections::BTreeMap;

/// An agent that an entry may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Instance name of the agent.
    pub instance: Bytes,
    /// Failure domain of the agent.
    pub domain: Bytes,
    /// Name of the model or service that it serves.
    pub target: Bytes,
}

/// Size of an entry's subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSize {
    /// Number of agents for each target.
    pub per_target: usize,
}

/// Returns the indices of the candidates that `entry` uses, in ascending order. `entries` are the
/// names of all entries, with or without `entry`.
///
/// The agents of a target in one failure domain form a ring, and the arcs of the entries start at
/// even distances on it (deterministic aperture, as in Finagle). Every agent is thus used by about
/// the same number of entries, and adding or removing one instance shifts each arc by at most one
/// agent.
pub fn choose_subset(
    entry: &Bytes,
    entries: &[Bytes],
    candidates: &[Candidate],
    size: SubsetSize,
) -> Vec<usize> {
    let rank = EntryRank::new(entry, entries);
    let mut chosen: Vec<usize> = group_by_target(candidates)
        .into_values()
        .flat_map(|domains| arcs(rank, candidates, domains, size.per_target))
        .collect();
    chosen.sort_unstable();
    chosen
}

/// The rank of an entry among all entries, by the hash of its name.
#[derive(Clone, Copy, Debug)]
struct EntryRank {
    rank: usize,
    count: usize,
}

impl EntryRank {
    fn new(entry: &Bytes, entries: &[Bytes]) -> Self {
        let own = hash_bytes(entry);
        let others = entries.iter().filter(|other| *other != entry);
        let rank = others
            .clone()
            .filter(|other| hash_bytes(other) < own)
            .count();
        Self {
            rank,
            count: others.count() + 1,
        }
    }

    /// Returns the index at which the entry's arc starts on a ring of `length` agents.
    fn start(self, length: usize) -> usize {
        self.rank * length / self.count
    }
}

type Domains<'a> = BTreeMap<&'a Bytes, Vec<usize>>;

fn group_by_target(candidates: &[Candidate]) -> BTreeMap<&Bytes, Domains<'_>> {
    let mut targets: BTreeMap<&Bytes, Domains> = BTreeMap::new();
    for (index, candidate) in candidates.iter().enumerate() {
        let domains = targets.entry(&candidate.target).or_default();
        domains.entry(&candidate.domain).or_default().push(index);
    }
    targets
}

/// Returns the candidates of one target on the entry's arcs, `count` in all.
fn arcs(entry: EntryRank, candidates: &[Candidate], domains: Domains, count: usize) -> Vec<usize> {
    let mut rings: Vec<Vec<usize>> = domains.into_values().collect();
    let lengths: Vec<usize> = rings.iter().map(Vec::len).collect();
    let quotas = quotas(&lengths, count, entry.rank);
    for ring in &mut rings {
        ring.sort_by_cached_key(|index| hash_bytes(&candidates[*index].instance));
    }
    let arcs = rings.iter().zip(quotas).flat_map(|(ring, quota)| {
        let start = entry.start(ring.len());
        ring.iter().cycle().skip(start).take(quota).copied()
    });
    arcs.collect()
}

/// Distributes `count` agents over rings of the given lengths round-robin, starting at ring `first`
/// (modulo the number of rings), and returns the number for each ring.
fn quotas(lengths: &[usize], count: usize, first: usize) -> Vec<usize> {
    let mut quotas = vec![0; lengths.len()];
    let total: usize = lengths.iter().sum();
    let mut left = count.min(total);
    let mut turn = first;
    while left > 0 {
        let ring = turn % lengths.len();
        turn += 1;
        if quotas[ring] < lengths[ring] {
            quotas[ring] += 1;
            left -= 1;
        }
    }
    quotas
}

impl SubsetSize {
    /// Number of agents for each target with which the load of agents differs little.
    const PER_TARGET: usize = 24;

    /// Number of agents in a subset that the control traffic of a node allows. Exceeded only with
    /// more targets than this, since each gets at least one agent.
    const MAX_AGENTS: usize = 64;

    /// Returns the subset size for a fleet with `targets` models and services.
    pub fn for_targets(targets: usize) -> Self {
        let fair = Self::MAX_AGENTS / targets.max(1);
        Self {
            per_target: fair.clamp(1, Self::PER_TARGET),
        }
    }

    /// Returns the interval at which the load reports of `agents` agents take `bytes_per_second`.
    pub fn report_interval(
        agents: usize,
        bytes_per_report: usize,
        bytes_per_second: usize,
    ) -> Millis {
        let bytes = (agents * bytes_per_report) as u64;
        Millis(bytes * 1000 / bytes_per_second.max(1) as u64)
    }
}
