//! Ejection of endpoints that are much worse than their peers.

use crate::endpoint::Endpoint;
use crate::endpoint_health::EndpointHealth;
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

/// What is common to the endpoints that serve one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerStats {
    count: usize,
    ejected: usize,
    /// Endpoints with a known pace.
    known: usize,
    /// Median of the known paces, in microseconds for each token.
    median_us_per_token: f64,
    /// Silence beyond which an endpoint is quiet.
    silence: Millis,
    quiet: usize,
    live: usize,
}

impl PeerStats {
    /// Sums up the endpoints of one target.
    pub fn new(now: Millis, endpoints: &[&Endpoint]) -> Self {
        let healths = endpoints.iter().map(|endpoint| &endpoint.health);
        let mut paces: Vec<f64> = healths
            .clone()
            .filter_map(EndpointHealth::us_per_token)
            .collect();
        paces.sort_by(f64::total_cmp);
        let middle = paces.len().saturating_sub(1) / 2;
        let median = paces.get(middle).copied().unwrap_or_default();
        let slowest = (SLOW_FACTOR * median / 1000.0) as u64;
        let silence = Millis(SILENCE_MS.max(slowest));
        let is_quiet = |endpoint: &&&Endpoint| is_quiet(now, endpoint, silence);
        Self {
            count: endpoints.len(),
            ejected: healths.clone().filter(|it| it.is_ejected(now)).count(),
            known: paces.len(),
            median_us_per_token: median,
            silence,
            quiet: endpoints.iter().filter(is_quiet).count(),
            live: healths.filter(|it| it.is_live(now, silence)).count(),
        }
    }

    /// Returns why the endpoint, one of these, must be ejected now, and counts it. Only a part of
    /// the endpoints is ejected at a time, whatever they do.
    pub fn eject(&mut self, now: Millis, endpoint: &Endpoint) -> Option<EjectReason> {
        let most = (self.count * MAX_EJECTED_PERCENT / 100).max(1);
        let is_protected = self.count < MIN_PEERS || self.ejected >= most;
        if is_protected || endpoint.health.is_ejected(now) {
            return None;
        }
        let reason = self.fault(now, endpoint)?;
        self.ejected += 1;
        Some(reason)
    }

    fn fault(&self, now: Millis, endpoint: &Endpoint) -> Option<EjectReason> {
        if endpoint.health.is_failing() {
            return Some(EjectReason::Failing);
        }
        if self.is_slow(&endpoint.health) {
            return Some(EjectReason::Slow);
        }
        self.is_silent(now, endpoint).then_some(EjectReason::Silent)
    }

    fn is_slow(&self, health: &EndpointHealth) -> bool {
        let is_comparable = self.known >= MIN_PEERS;
        let limit = SLOW_FACTOR * self.median_us_per_token;
        is_comparable && health.us_per_token().is_some_and(|pace| pace > limit)
    }

    /// Returns whether the endpoint shows no sign of work while more peers do than not.
    fn is_silent(&self, now: Millis, endpoint: &Endpoint) -> bool {
        is_quiet(now, endpoint, self.silence) && self.quiet < self.live
    }
}

fn is_quiet(now: Millis, endpoint: &Endpoint, silence: Millis) -> bool {
    endpoint.must_run() && endpoint.health.silence(now) > silence
}
