//! Ejection of endpoints that perform much worse than others that serve the same target.

use crate::endpoint::Endpoint;
use crate::endpoint_health::EndpointHealth;
use crate::prelude::*;

/// Multiple of the median time for each token above which an endpoint is ejected as slow.
const SLOW_FACTOR: f64 = 3.0;
/// Minimum time without progress, with work in flight, after which an endpoint can be ejected as
/// silent.
const SILENCE_MS: u64 = 1_500;
/// Maximum percentage of the endpoints of one target that are ejected at the same time.
const MAX_EJECTED_PERCENT: usize = 34;
/// Minimum number of endpoints of one target, and of known times, for a comparison.
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
    /// Its time for each token is far above the median of its target.
    Slow,
    /// Several consecutive attempts failed.
    Failing,
    /// It makes no progress on work in flight, while most endpoints of its target do.
    Silent,
}

/// Statistics over the endpoints that serve one target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerStats {
    count: usize,
    /// Number of endpoints that are ejected now.
    ejected: usize,
    /// Number of endpoints with a known time for each token.
    known: usize,
    /// Median of the known times for each token, in microseconds.
    median_us_per_token: f64,
    /// Time without progress beyond which an endpoint counts as quiet.
    silence: Millis,
    /// Number of endpoints without progress for longer than that, with work in flight.
    quiet: usize,
    /// Number of endpoints with progress within that time.
    live: usize,
}

impl PeerStats {
    /// Collects the statistics of the endpoints of one target.
    pub fn new(now: Millis, endpoints: &[&Endpoint]) -> Self {
        let health = endpoints.iter().map(|endpoint| &endpoint.health);
        let mut times: Vec<f64> = health
            .clone()
            .filter_map(EndpointHealth::us_per_token)
            .collect();
        times.sort_by(f64::total_cmp);
        let middle = times.len().saturating_sub(1) / 2;
        let median = times.get(middle).copied().unwrap_or_default();
        let slowest = (SLOW_FACTOR * median / 1000.0) as u64;
        let silence = Millis(SILENCE_MS.max(slowest));
        let is_quiet = |endpoint: &&&Endpoint| is_quiet(now, endpoint, silence);
        Self {
            count: endpoints.len(),
            ejected: health.clone().filter(|it| it.is_ejected(now)).count(),
            known: times.len(),
            median_us_per_token: median,
            silence,
            quiet: endpoints.iter().filter(is_quiet).count(),
            live: health.filter(|it| it.is_live(now, silence)).count(),
        }
    }

    /// Returns why the endpoint, one of those of [`PeerStats::new`], must be ejected now, and
    /// counts the ejection. Never ejects more than [`MAX_EJECTED_PERCENT`], so that a fault common
    /// to all endpoints can't take the target out of service.
    pub fn eject(&mut self, now: Millis, endpoint: &Endpoint) -> Option<EjectReason> {
        let max_ejected = (self.count * MAX_EJECTED_PERCENT / 100).max(1);
        let is_protected = self.count < MIN_PEERS || self.ejected >= max_ejected;
        if is_protected || endpoint.health.is_ejected(now) {
            return None;
        }
        let reason = self.eject_reason(now, endpoint)?;
        self.ejected += 1;
        Some(reason)
    }

    fn eject_reason(&self, now: Millis, endpoint: &Endpoint) -> Option<EjectReason> {
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
        is_comparable && health.us_per_token().is_some_and(|time| time > limit)
    }

    /// Returns whether the endpoint is quiet while more endpoints make progress than are quiet.
    fn is_silent(&self, now: Millis, endpoint: &Endpoint) -> bool {
        is_quiet(now, endpoint, self.silence) && self.quiet < self.live
    }
}

/// Returns whether the endpoint has work in flight and made no progress for longer than `silence`.
fn is_quiet(now: Millis, endpoint: &Endpoint, silence: Millis) -> bool {
    endpoint.has_running_work() && endpoint.health.silence(now) > silence
}
