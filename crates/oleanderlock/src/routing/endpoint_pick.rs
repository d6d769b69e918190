//! Choice of an endpoint for one attempt of an interactive call.
//!
//! Load pattern: many entry processes share a few endpoints, each process sees only its own calls,
//! and some endpoints are slow, full or broken. The choice minimises the expected answer time as
//! observed by this process, avoids endpoints that have just failed, and prefers the own failure
//! domain only among endpoints that are about as fast.

use super::candidate::Candidate;
use super::endpoint_entry::EndpointEntry;
use crate::prelude::*;

/// Answer time that is assumed for an endpoint that has not answered yet, in microseconds.
const DEFAULT_ANSWER_US: u64 = 30_000;
/// Cost of a call to another failure domain, added to its expected answer time, in microseconds.
const OTHER_DOMAIN_COST_US: u64 = 5_000;

/// Returns the candidate with the shortest expected answer time; avoided candidates come last.
///
/// Instances in `tried` are excluded, so the result is `None` if all candidates were tried. `draw` is
/// a random number that breaks ties.
pub fn pick<'a>(
    now: Millis,
    domain: &str,
    candidates: &[Candidate<'a>],
    tried: &[String],
    draw: u64,
) -> Option<&'a EndpointEntry> {
    let cost = |candidate: &Candidate<'a>, position: usize| {
        let avoided = candidate.load.avoid_until > now;
        let mean = match candidate.load.mean_answer_us {
            0 => DEFAULT_ANSWER_US,
            mean => mean,
        };
        let slots = candidate.entry.slots.max(1) as u64;
        let waiting = candidate.load.in_flight as u64 + 1;
        let wait = mean * (slots + waiting) / slots;
        let far = if candidate.entry.domain == domain {
            0
        } else {
            OTHER_DOMAIN_COST_US
        };
        let limit_delay = candidate.limit_delay.0.saturating_mul(1000);
        let tie = (draw.wrapping_add(position as u64)) % candidates.len().max(1) as u64;
        (avoided, wait + far + limit_delay, tie)
    };
    let untried = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| !tried.contains(&candidate.entry.instance));
    untried
        .min_by_key(|(position, candidate)| cost(candidate, *position))
        .map(|(_, candidate)| candidate.entry)
}
