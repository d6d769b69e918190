//! The stable subset of agents that one entry uses.

use crate::affinity_score::hash_bytes;
use crate::prelude::*;
use bytes::Bytes;
use std::collections::BTreeMap;

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

/// Returns the indices of the candidates that `entry` uses, in ascending order; `entries` are the
/// names of all entries, with or without its own.
///
/// The agents of a target in one failure domain form a ring, and the entries start at even
/// distances on it (deterministic aperture, as in Finagle). So every agent is used by the same
/// number of entries, give or take a few, and a change of one instance moves each arc by one place
/// at most.
pub fn choose_subset(
    entry: &Bytes,
    entries: &[Bytes],
    candidates: &[Candidate],
    size: SubsetSize,
) -> Vec<usize> {
    let place = Place::new(entry, entries);
    let mut chosen: Vec<usize> = group_by_target(candidates)
        .into_values()
        .flat_map(|domains| arcs(place, candidates, domains, size.per_target))
        .collect();
    chosen.sort_unstable();
    chosen
}

/// The place of an entry among all entries.
#[derive(Clone, Copy, Debug)]
struct Place {
    rank: usize,
    count: usize,
}

impl Place {
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

    /// Returns where the arc of this entry starts on a ring of `length` agents.
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

fn arcs(place: Place, candidates: &[Candidate], domains: Domains, places: usize) -> Vec<usize> {
    let mut rings: Vec<Vec<usize>> = domains.into_values().collect();
    let lengths: Vec<usize> = rings.iter().map(Vec::len).collect();
    let quotas = quotas(&lengths, places, place.rank);
    for ring in &mut rings {
        ring.sort_by_cached_key(|index| hash_bytes(&candidates[*index].instance));
    }
    let arcs = rings.iter().zip(quotas).flat_map(|(ring, quota)| {
        let start = place.start(ring.len());
        ring.iter().cycle().skip(start).take(quota).copied()
    });
    arcs.collect()
}

/// Deals `places` out to rings of the given lengths in turn, the ring at `first` to begin with.
fn quotas(lengths: &[usize], places: usize, first: usize) -> Vec<usize> {
    let mut quotas = vec![0; lengths.len()];
    let total: usize = lengths.iter().sum();
    let mut left = places.min(total);
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
