//! Even choice of an endpoint by many processes, none of which knows the load of the others.
//!
//! Load pattern: dozens of processes with few calls each share some dozens of endpoints of different
//! and changing speed. A choice of the best endpoint as each sees it sends all to the same one. Here
//! each endpoint has a share of the calls of a process, by its free capacity as far as the process
//! knows it, and gets its calls in turn. See docs/design/0011-even-load.md.

use super::even_caller::EvenCaller;
use super::even_candidate::EvenCandidate;
use super::even_endpoint::EvenEndpoint;
use super::even_pick::EvenPick;
use super::even_reason::EvenReason;
use super::even_service::{EvenService, unit};
use crate::affinity_score::score;
use crate::prelude::*;
use indexmap::IndexMap;

/// Answer time that is assumed before the first answer of any endpoint, in microseconds.
const DEFAULT_ANSWER_US: f64 = 30_000.0;
/// Time that a call to another failure domain takes longer, there and back, in microseconds.
const OTHER_DOMAIN_US: f64 = 2_000.0;
/// Least endpoints of a failure domain in the subset of a process. With fewer, the number of
/// processes for each endpoint differs too much.
const SUBSET_MIN: usize = 6;
/// Least processes of a role in whose subsets each endpoint should be.
const COVER: usize = 4;
/// Calls to each endpoint of the subset within the time for which an idle connection is kept, so that
/// connections are used again.
const CALLS_PER_CONNECTION: f64 = 2.0;
/// Part of a turn by which an endpoint with an idle connection goes first.
const CONNECTED_BONUS: f64 = 0.25;
/// Part of a turn by which the order is changed at random, so that it does not follow a rhythm of the
/// calls.
const ORDER_NOISE: f64 = 0.1;
/// Most turns that an endpoint is owed.
const CREDIT_MAX: f64 = 1.0;
/// One in this many choices tries an endpoint of another failure domain of which nothing is known.
const TRY_ELSEWHERE_ONE_IN: u64 = 32;
/// Fractional part of the golden ratio: multiples of it spread any run of places evenly on a ring.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// A candidate with its weight in this choice.
struct Weighted<'a> {
    it: EvenCandidate<'a>,
    known: EvenEndpoint,
    // Capacity by its usual speed, which gives its share of calls.
    capacity: f64,
    // Part of the capacity that is free and sound now, 0 to 1.
    free: f64,
    // Time that a call would wait longer than usual, in microseconds.
    wait_us: f64,
}

/// Chooses an endpoint for an attempt; `None` if all candidates are in `tried`.
///
/// An endpoint that is avoided or has to wait for its rate limit is taken only if all others are out.
/// `draw` is a random number.
pub fn even_choice<'a>(
    service: &mut EvenService,
    now: Millis,
    domain: &str,
    caller: EvenCaller,
    candidates: &[EvenCandidate<'a>],
    tried: &[String],
    draw: u64,
) -> Option<EvenPick<'a>> {
    let recent_calls = service.count_call(now);
    let all = weigh(service, now, candidates, draw);
    let own_calls: usize = candidates
        .iter()
        .map(|it| it.candidate.load.in_flight)
        .sum();
    let size = |count: usize| subset_size(caller, candidates.len(), count, recent_calls, own_calls);
    let untried = |one: &&Weighted<'a>| !tried.contains(&one.it.candidate.entry.instance);
    let left: Vec<&Weighted<'a>> = all.iter().filter(untried).collect();
    let usable: Vec<&Weighted<'a>> = usable(&left, now);
    let (pool, mut reason) = match usable.is_empty() {
        true => (least_avoided(&left, now), EvenReason::AllAvoided),
        false => in_domains(&usable, domain, caller, size, draw),
    };
    let chosen = take_turn(service, &pool, draw)?;
    if chosen.known.answers == 0 && reason == EvenReason::Turn {
        reason = EvenReason::Untried;
    } else if chosen.it.connected && reason == EvenReason::Turn {
        reason = EvenReason::Connected;
    }
    Some(EvenPick {
        entry: chosen.it.candidate.entry,
        candidates: pool.len(),
        age: chosen.known.age(now),
        reason,
    })
}

/// Weighs each candidate by what is known of it.
fn weigh<'a>(
    service: &mut EvenService,
    now: Millis,
    candidates: &[EvenCandidate<'a>],
    draw: u64,
) -> Vec<Weighted<'a>> {
    let known: Vec<EvenEndpoint> = candidates
        .iter()
        .map(|it| *service.endpoint(&it.candidate.entry.instance, draw))
        .collect();
    let means = known.iter().filter_map(EvenEndpoint::mean_us);
    let (count, sum) = means.fold((0, 0.0), |(count, sum), us| (count + 1, sum + us));
    let typical_us = match count {
        0 => DEFAULT_ANSWER_US,
        count => sum / f64::from(count),
    };
    let all = candidates.iter().zip(known);
    all.map(|(it, known)| weigh_one(it, known, typical_us, now))
        .collect()
}

fn weigh_one<'a>(
    it: &EvenCandidate<'a>,
    known: EvenEndpoint,
    typical_us: f64,
    now: Millis,
) -> Weighted<'a> {
    let slots = it.candidate.entry.slots.max(1) as f64;
    let in_flight = it.candidate.load.in_flight as f64;
    let usual_us = known.usual_us(typical_us).max(1.0);
    let slowness = known.slowness(typical_us, now);
    let fullness = known.fullness(typical_us, now);
    let idle_part = ((slots - in_flight) / slots).max(0.05) * (1.0 - 0.9 * fullness);
    let sound = 1.0 - known.failure_share();
    let over = (in_flight + 1.0 - slots).max(0.0) / slots;
    Weighted {
        it: *it,
        known,
        capacity: slots / usual_us,
        free: idle_part * sound * sound / slowness.powi(3),
        wait_us: usual_us * (slowness - 1.0 + fullness + over),
    }
}

/// Returns the candidates that are neither avoided nor have to wait for their rate limit.
fn usable<'w, 'a>(left: &[&'w Weighted<'a>], now: Millis) -> Vec<&'w Weighted<'a>> {
    let sound = |one: &&&Weighted<'a>| {
        let candidate = &one.it.candidate;
        candidate.load.avoid_until <= now && candidate.limit_delay == Millis::ZERO
    };
    left.iter().filter(sound).copied().collect()
}

/// Returns the candidates that are limited for the shortest time, or else avoided for the shortest.
fn least_avoided<'w, 'a>(left: &[&'w Weighted<'a>], now: Millis) -> Vec<&'w Weighted<'a>> {
    let key = |one: &&Weighted<'a>| {
        let candidate = &one.it.candidate;
        let avoided_for = candidate.load.avoid_until.since(now);
        (avoided_for, candidate.limit_delay)
    };
    let least = left.iter().map(key).min();
    let same = left.iter().filter(|one| Some(key(one)) == least);
    same.copied().collect()
}

/// Returns the candidates of the own failure domain, unless others cost the caller less or none is
/// left there.
fn in_domains<'w, 'a>(
    usable: &[&'w Weighted<'a>],
    domain: &str,
    caller: EvenCaller,
    size: impl Fn(usize) -> usize,
    draw: u64,
) -> (Vec<&'w Weighted<'a>>, EvenReason) {
    let (own, others): (Vec<_>, Vec<_>) = usable
        .iter()
        .copied()
        .partition(|one| one.it.candidate.entry.domain == domain);
    let slower = slower_domain(usable, domain, draw);
    let others = subset(others, caller, &size);
    if own.is_empty() {
        return (others, EvenReason::OwnDomainOut);
    }
    if let Some(other) = slower {
        let there = |one: &&Weighted<'a>| one.it.candidate.entry.domain == other;
        let there = others.iter().copied().filter(there).collect();
        return (there, EvenReason::OtherDomain);
    }
    let own = subset(own, caller, &size);
    if others.is_empty() {
        return (own, EvenReason::Turn);
    }
    let unknown =
        |one: &&Weighted<'a>| one.known.answers == 0 && one.it.candidate.load.in_flight == 0;
    let try_elsewhere = score(draw, 2).is_multiple_of(TRY_ELSEWHERE_ONE_IN);
    if try_elsewhere && !own.iter().any(&unknown) {
        let unknown: Vec<&Weighted<'a>> =
            others.iter().copied().filter(|one| unknown(one)).collect();
        if !unknown.is_empty() {
            return (unknown, EvenReason::Untried);
        }
    }
    if mean_wait_us(&own) > mean_wait_us(&others) + OTHER_DOMAIN_US {
        return ([own, others].concat(), EvenReason::OtherDomain);
    }
    (own, EvenReason::Turn)
}

/// Returns the failure domain that takes this call because the endpoints of the own one are slower
/// than all by more than the way to another, `None` if it stays.
///
/// The processes of each domain are taken to call equally often. A domain with less capacity than the
/// mean gives the part that it lacks, and no more, to those with more: if calls moved to the fastest
/// domain as a whole, all would meet there.
fn slower_domain<'a>(usable: &[&Weighted<'a>], domain: &str, draw: u64) -> Option<&'a str> {
    let mut domains: IndexMap<&'a str, (f64, f64)> = IndexMap::new();
    for one in usable {
        let entry = one.it.candidate.entry;
        let (slots, capacity) = domains.entry(&entry.domain).or_default();
        *slots += entry.slots.max(1) as f64;
        *capacity += one.capacity;
    }
    let (own_slots, own) = *domains.get(domain)?;
    let sum = |part: fn(&(f64, f64)) -> f64| domains.values().map(part).sum::<f64>();
    let (slots, capacity) = (sum(|it| it.0), sum(|it| it.1));
    let mean = capacity / domains.len() as f64;
    let costs_more = own_slots / own > slots / capacity + OTHER_DOMAIN_US;
    if !costs_more || unit(score(draw, 3)) >= 1.0 - own / mean {
        return None;
    }
    let excess = |it: &(f64, f64)| (it.1 - mean).max(0.0);
    let mut at = unit(score(draw, 4)) * domains.values().map(excess).sum::<f64>();
    let taking = domains.iter().find(|(_, it)| {
        at -= excess(it);
        at < 0.0
    });
    taking.map(|(domain, _)| *domain)
}

/// Returns the mean time by which a call waits longer than usual, if it is sent to one of `pool` by
/// their weights.
fn mean_wait_us(pool: &[&Weighted<'_>]) -> f64 {
    let weight = |one: &Weighted<'_>| one.capacity * one.free;
    let total: f64 = pool.iter().map(|one| weight(one)).sum();
    let waits = pool.iter().map(|one| weight(one) * one.wait_us);
    waits.sum::<f64>() / total.max(f64::MIN_POSITIVE)
}

/// Returns how many of `count` endpoints of a failure domain a process uses, of `total` in all.
///
/// As many as its calls keep connections to in use, but enough that the subsets of all processes
/// cover each endpoint several times; all if the number of processes is not known.
fn subset_size(
    caller: EvenCaller,
    total: usize,
    count: usize,
    recent_calls: f64,
    own_calls: usize,
) -> usize {
    if caller.callers == 0 {
        return count;
    }
    let covering = (COVER * total).div_ceil(caller.callers);
    let kept_in_use = (recent_calls / CALLS_PER_CONNECTION) as usize;
    let size = covering.max(kept_in_use).max(2 * own_calls).max(SUBSET_MIN);
    size.min(count)
}

/// Returns the endpoints of each failure domain that a process uses: an arc on a ring, which starts
/// at the process's place.
fn subset<'w, 'a>(
    mut all: Vec<&'w Weighted<'a>>,
    caller: EvenCaller,
    size: impl Fn(usize) -> usize,
) -> Vec<&'w Weighted<'a>> {
    let key = |one: &&Weighted<'a>| (one.it.candidate.entry.domain.clone(), one.known.ring);
    all.sort_by_cached_key(key);
    let domains =
        all.chunk_by(|one, other| one.it.candidate.entry.domain == other.it.candidate.entry.domain);
    let arcs = domains.flat_map(|ring| {
        let place = (caller.index as f64 * GOLDEN).fract();
        let start = (place * ring.len() as f64) as usize;
        let arc = ring.iter().cycle().skip(start);
        arc.take(size(ring.len())).copied()
    });
    arcs.collect()
}

/// Gives each endpoint of `pool` its part of a turn and takes the one that is owed most.
///
/// Over time each gets calls by its capacity. One that is busy, slowed or failing now is put off, and
/// one with an idle connection goes first, by a part of a turn.
fn take_turn<'w, 'a>(
    service: &mut EvenService,
    pool: &[&'w Weighted<'a>],
    draw: u64,
) -> Option<&'w Weighted<'a>> {
    let weight = |one: &Weighted<'a>| one.capacity * one.free;
    let total: f64 = pool.iter().map(|one| weight(one)).sum();
    let mut best: Option<(f64, &'w Weighted<'a>)> = None;
    for one in pool {
        let part = weight(one) / total.max(f64::MIN_POSITIVE);
        let endpoint = service.endpoint(&one.it.candidate.entry.instance, draw);
        endpoint.credit = (endpoint.credit + part).clamp(-CREDIT_MAX, CREDIT_MAX);
        let bonus = if one.it.connected {
            CONNECTED_BONUS
        } else {
            0.0
        };
        let noise = ORDER_NOISE * unit(score(draw, one.known.ring));
        let turn = endpoint.credit + one.free - 1.0 + bonus + noise;
        if best.is_none_or(|(most, _)| turn > most) {
            best = Some((turn, one));
        }
    }
    let (_, chosen) = best?;
    service.update(&chosen.it.candidate.entry.instance, |endpoint| {
        endpoint.credit = (endpoint.credit - 1.0).max(-CREDIT_MAX);
    });
    Some(chosen)
}
