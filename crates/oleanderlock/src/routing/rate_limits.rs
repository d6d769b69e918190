//! Rate limits that endpoints have named in their responses.

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
        let named = NamedLimit {
            rate,
            last_named_at: now,
        };
        if let Some(known) = self.by_instance.get_mut(instance) {
            let differs = known.rate != rate;
            *known = named;
            return differs;
        }
        if self.by_instance.len() >= ENDPOINTS_MAX {
            self.by_instance.shift_remove_index(0);
        }
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
}
