//! The choice of an endpoint for one attempt of an interactive call.
//!
//! Load pattern: many entries share a few endpoints, each sees only its own calls, and some
//! endpoints are slow, full or broken. The choice goes by the expected wait in this process, avoids
//! endpoints that just failed, and prefers the own failure domain only between equals.

use super::candidate::Candidate;
use super::endpoint_entry::EndpointEntry;
use crate::prelude::*;

/// Time to an answer that is assumed of an endpoint that has not answered yet, in microseconds.
const DEFAULT_ANSWER_US: u64 = 30_000;
/// What a call to another failure domain costs beside the wait, in microseconds.
const OTHER_DOMAIN_COST_US: u64 = 5_000;

/// Returns the candidate with the least expected wait, avoided ones last.
///
/// `tried` names instances that are left out. `draw` orders equals.
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
        let tie = (draw.wrapping_add(position as u64)) % candidates.len().max(1) as u64;
        (avoided, wait + far, tie)
    };
    let untried = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| !tried.contains(&candidate.entry.instance));
    untried
        .min_by_key(|(position, candidate)| cost(candidate, *position))
        .map(|(_, candidate)| candidate.entry)
}
