//! Rate limits that endpoints have named in responses to this process.

use super::logged_once::LoggedOnce;
use super::request_kind::RequestKind;
use crate::observe::metrics::Metrics;
use crate::prelude::*;
use http::HeaderMap;
use oleander_platform::headers;
use oleander_platform::rate_limit::decode_rate_limit;
use oleanderlock::routing::caller_grant::CallerGrant;
use oleanderlock::routing::caller_share::CallerShare;
use oleanderlock::routing::rate_limits::RateLimits;
use oleanderlock::routing::request_rate::RequestRate;
use std::cell::RefCell;

/// Rate limits that endpoints have named in responses to this process.
#[derive(Debug)]
pub struct LimitRegistry {
    limits: RefCell<RateLimits>,
    // Instances whose malformed limit has been logged.
    malformed: LoggedOnce,
    metrics: Metrics,
}

impl LimitRegistry {
    /// Returns a registry without limits.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            limits: RefCell::default(),
            malformed: LoggedOnce::default(),
            metrics,
        }
    }

    /// Reads the limit that the head of a response of `instance` to a request of `kind` names, if
    /// any.
    pub fn read_head(&self, header_map: &HeaderMap, instance: &str, kind: RequestKind) {
        self.read_rate(header_map, instance, kind, |_| true);
    }

    /// Does the same with a response to another request, which may be older than what is known: it
    /// never raises the limit.
    pub fn read_foreign(&self, header_map: &HeaderMap, instance: &str, kind: RequestKind) {
        let known = self.limits.borrow().rate(instance);
        self.read_rate(header_map, instance, kind, |rate| {
            known.is_none_or(|known| rate < known)
        });
    }

    fn read_rate(
        &self,
        header_map: &HeaderMap,
        instance: &str,
        kind: RequestKind,
        counts: impl Fn(RequestRate) -> bool,
    ) {
        let values = header_map.get_all(headers::RATE_LIMIT);
        match decode_rate_limit(values.iter().map(|value| value.as_bytes())) {
            Ok(Some(rate)) if !counts(rate) => {}
            Ok(Some(rate)) => {
                if self.limits.borrow_mut().record(instance, rate, now()) {
                    event(log::Level::Info, "endpoint-limit", || {
                        format!("instance={instance} limit={rate} response_to={kind}")
                    });
                }
            }
            Ok(None) => {}
            Err(error) => self.log_malformed(instance, &error.to_string()),
        }
    }

    /// Lifts the limit of `instance` if its response to a request of `kind` that was sent at
    /// `sent_at`, and that has been read to its end, names none. The head of a broken response may
    /// lack the limit.
    pub fn read_whole(
        &self,
        header_map: &HeaderMap,
        instance: &str,
        (kind, sent_at): (RequestKind, Millis),
    ) {
        if header_map.contains_key(headers::RATE_LIMIT) {
            return;
        }
        if self.limits.borrow_mut().record_none(instance, sent_at) {
            event(log::Level::Info, "endpoint-limit-lifted", || {
                format!("instance={instance} response_to={kind}")
            });
        }
    }

    /// Whether an endpoint has named a limit.
    pub fn is_limited(&self, instance: &str) -> bool {
        self.limits.borrow().rate(instance).is_some()
    }

    /// Returns how long this process has to wait before it may send a request to an endpoint: zero
    /// without a limit, `None` while it may not send any. `share` is called only if there is a limit.
    pub fn delay(&self, instance: &str, share: impl FnOnce() -> CallerShare) -> Option<Millis> {
        let limits = self.limits.borrow();
        if limits.rate(instance).is_none() {
            return Some(Millis::ZERO);
        }
        limits.delay(instance, share(), now(), unix_ms())
    }

    /// Takes the next request that this process may send to an endpoint; returns the same as
    /// [`Self::delay`] before.
    pub fn reserve(&self, instance: &str, share: impl FnOnce() -> CallerShare) -> Option<Millis> {
        let mut limits = self.limits.borrow_mut();
        if limits.rate(instance).is_none() {
            return Some(Millis::ZERO);
        }
        limits.reserve(instance, share(), now(), unix_ms())
    }

    /// Returns what this process may send to an endpoint that has named a limit; `None` if it has
    /// named none.
    pub fn grant(
        &self,
        instance: &str,
        share: impl FnOnce() -> CallerShare,
    ) -> Option<CallerGrant> {
        let rate = self.limits.borrow().rate(instance)?;
        share().grant(instance, rate, unix_ms())
    }

    /// Logs and counts a request that is about to be sent to an endpoint that has named a limit.
    pub fn record_sent(&self, instance: &str, kind: RequestKind, id: &str) {
        let Some(rate) = self.limits.borrow().rate(instance) else {
            return;
        };
        self.metrics.count_event(&format!("limited-{kind}"));
        event(log::Level::Info, "limited-request", || {
            format!("request={id} kind={kind} instance={instance} limit={rate}")
        });
    }

    /// Logs a malformed limit, once for each instance.
    fn log_malformed(&self, instance: &str, reason: &str) {
        if self.malformed.record(instance) {
            event(log::Level::Warn, "limit-unreadable", || {
                format!("instance={instance} reason=\"{reason}\"")
            });
        }
    }
}
