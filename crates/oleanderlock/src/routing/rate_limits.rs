//! Rate limits that endpoints have named in their responses, and the requests that they allow.

use super::caller_grant::CallerGrant;
use super::caller_share::CallerShare;
use super::request_rate::RequestRate;
use crate::prelude::*;
use indexmap::IndexMap;

/// Most endpoints whose limit is remembered; the one that was recorded first is removed first.
const ENDPOINTS_MAX: usize = 4096;

/// The limit of one endpoint.
#[derive(Clone, Copy, Debug)]
struct NamedLimit {
    rate: RequestRate,
    last_named_at: Millis,
    // When the next request would be due at an even pace, in microseconds (generic cell rate
    // algorithm).
    due_us: u64,
}

impl NamedLimit {
    /// Returns how long the next request has to wait.
    fn delay(&self, grant: &CallerGrant, now: Millis) -> Millis {
        let tolerance_us = grant.interval_us().saturating_mul(grant.burst - 1);
        let earliest_us = self.due_us.saturating_sub(tolerance_us);
        Millis(earliest_us.div_ceil(1000)).since(now)
    }

    /// Changes the limit; a higher one shortens the wait for the next request in proportion.
    fn set_rate(&mut self, rate: RequestRate, now: Millis) {
        let before = std::mem::replace(&mut self.rate, rate);
        if rate > before {
            let now_us = now.0.saturating_mul(1000);
            let wait_us = self.due_us.saturating_sub(now_us) as f64;
            let shortened_us = wait_us * before.per_second() / rate.per_second();
            self.due_us = now_us + shortened_us as u64;
        }
    }
}

/// Rate limits that endpoints have named in their responses, by instance id.
///
/// Memory is bounded by [`ENDPOINTS_MAX`] instance ids.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    by_instance: IndexMap<String, NamedLimit>,
}

impl RateLimits {
    /// Records the limit that a response of `instance` names at `now`; returns whether it differs
    /// from the one that was known.
    pub fn record(&mut self, instance: &str, rate: RequestRate, now: Millis) -> bool {
        if let Some(known) = self.by_instance.get_mut(instance) {
            let differs = known.rate != rate;
            known.set_rate(rate, now);
            known.last_named_at = now;
            return differs;
        }
        if self.by_instance.len() >= ENDPOINTS_MAX {
            self.by_instance.shift_remove_index(0);
        }
        let named = NamedLimit {
            rate,
            last_named_at: now,
            due_us: 0,
        };
        self.by_instance.insert(instance.to_owned(), named);
        true
    }

    /// Records that the response of `instance` to a request that was sent at `sent_at` names no
    /// limit; returns whether this lifts the limit.
    ///
    /// The response to a request that was sent before the limit was last named may be older than
    /// the limit.
    pub fn record_none(&mut self, instance: &str, sent_at: Millis) -> bool {
        let known = self.by_instance.get(instance);
        let lifted = known.is_some_and(|known| known.last_named_at < sent_at);
        if lifted {
            self.by_instance.shift_remove(instance);
        }
        lifted
    }

    /// Returns the limit of an endpoint; `None` if it names none.
    pub fn rate(&self, instance: &str) -> Option<RequestRate> {
        self.by_instance.get(instance).map(|known| known.rate)
    }

    /// Returns how long a process with this share has to wait before it may send a request to an
    /// endpoint: zero without a limit, `None` while it may not send any.
    pub fn delay(
        &self,
        instance: &str,
        share: CallerShare,
        now: Millis,
        unix_ms: u64,
    ) -> Option<Millis> {
        let Some(known) = self.by_instance.get(instance) else {
            return Some(Millis::ZERO);
        };
        let grant = share.grant(instance, known.rate, unix_ms)?;
        Some(known.delay(&grant, now))
    }

    /// Takes the next request that a process with this share may send to an endpoint; returns the
    /// same as [`Self::delay`] before.
    pub fn reserve(
        &mut self,
        instance: &str,
        share: CallerShare,
        now: Millis,
        unix_ms: u64,
    ) -> Option<Millis> {
        let Some(known) = self.by_instance.get_mut(instance) else {
            return Some(Millis::ZERO);
        };
        let grant = share.grant(instance, known.rate, unix_ms)?;
        let delay = known.delay(&grant, now);
        let now_us = now.0.saturating_mul(1000);
        known.due_us = known.due_us.max(now_us) + grant.interval_us();
        Some(delay)
    }
}
