//! Ejection of endpoints that are much worse than their peers.

use crate::endpoint::Endpoint;
use crate::outlier::Outlier;
use crate::prelude::*;

/// Pace at which an endpoint is ejected, in multiples of its peers' median.
const SLOW_FACTOR: f64 = 3.0;
/// Silence with work in flight at which an endpoint is ejected, while peers answer.
const SILENCE_MS: u64 = 1_500;
/// Most endpoints of one target that are ejected at a time, in percent.
const MAX_EJECTED_PERCENT: usize = 34;
/// Fewest endpoints of one target among which one may be ejected.
const MIN_PEERS: usize = 3;

/// Why an endpoint was ejected.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::VariantArray,
)]
#[strum(serialize_all = "kebab-case")]
pub enum EjectReason {
    /// It is much slower than the median of its peers.
    Slow,
    /// Several requests in a row failed.
    Failing,
    /// It gives no sign of work while its peers do.
    Silent,
}

/// Returns why the endpoint must be ejected now; `peers` are all endpoints that serve the same
/// target, itself included. Only a part of them is ejected at a time, whatever they do.
pub(crate) fn ejection(
    now: Millis,
    endpoint: &Endpoint,
    peers: &[&Endpoint],
) -> Option<EjectReason> {
    if endpoint.outlier.is_ejected(now) || peers.len() < MIN_PEERS {
        return None;
    }
    let ejected = peers
        .iter()
        .filter(|peer| peer.outlier.is_ejected(now))
        .count();
    let most = (peers.len() * MAX_EJECTED_PERCENT / 100).max(1);
    if ejected >= most {
        return None;
    }
    fault(now, endpoint, peers)
}

/// Returns why the endpoint stands out.
fn fault(now: Millis, endpoint: &Endpoint, peers: &[&Endpoint]) -> Option<EjectReason> {
    if endpoint.outlier.is_failing() {
        return Some(EjectReason::Failing);
    }
    if is_slow(&endpoint.outlier, peers) {
        return Some(EjectReason::Slow);
    }
    is_silent(now, endpoint, peers).then_some(EjectReason::Silent)
}

fn is_slow(outlier: &Outlier, peers: &[&Endpoint]) -> bool {
    let mut paces: Vec<f64> = peers
        .iter()
        .filter_map(|peer| peer.outlier.pace())
        .collect();
    paces.sort_by(f64::total_cmp);
    let median = paces.get((paces.len().max(1) - 1) / 2).copied();
    match (outlier.pace(), median) {
        (Some(pace), Some(median)) => paces.len() >= MIN_PEERS && pace > SLOW_FACTOR * median,
        _ => false,
    }
}

fn is_silent(now: Millis, endpoint: &Endpoint, peers: &[&Endpoint]) -> bool {
    let is_quiet = |it: &Endpoint| it.in_flight > 0 && it.outlier.silence(now).0 > SILENCE_MS;
    let busy = peers.iter().filter(|peer| peer.in_flight > 0).count();
    let quiet = peers.iter().filter(|peer| is_quiet(peer)).count();
    is_quiet(endpoint) && quiet * 2 < busy
}
