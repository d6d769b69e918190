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
    let known = peers.iter().filter(|peer| peer.outlier.pace().is_some());
    let is_comparable = known.count() >= MIN_PEERS;
    let median = median_pace(peers);
    is_comparable
        && outlier
            .pace()
            .is_some_and(|pace| pace > SLOW_FACTOR * median)
}

/// Returns whether the endpoint shows no sign of work while more peers do than not.
fn is_silent(now: Millis, endpoint: &Endpoint, peers: &[&Endpoint]) -> bool {
    let slowest = SLOW_FACTOR * median_pace(peers) / 1000.0;
    let limit = Millis(SILENCE_MS.max(slowest as u64));
    let is_quiet = |it: &Endpoint| it.must_run() && it.outlier.silence(now) > limit;
    let quiet = peers.iter().filter(|peer| is_quiet(peer)).count();
    let live = peers
        .iter()
        .filter(|peer| peer.outlier.is_live(now, limit))
        .count();
    is_quiet(endpoint) && quiet < live
}

/// Returns the median of the peers' microseconds for each token; zero when none is known.
fn median_pace(peers: &[&Endpoint]) -> f64 {
    let mut paces: Vec<f64> = peers
        .iter()
        .filter_map(|peer| peer.outlier.pace())
        .collect();
    paces.sort_by(f64::total_cmp);
    let middle = paces.len().saturating_sub(1) / 2;
    paces.get(middle).copied().unwrap_or_default()
}
