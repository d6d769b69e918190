//! Which dispatchers have answered this process lately.
//!
//! Load pattern: a process that can't read the store looks for the leader among all registered dispatchers,
//! of which a hundred are gone. A call to each would open a hundred connections that hang, at the moment
//! at which all processes look.

use crate::prelude::*;
use indexmap::{IndexMap, IndexSet};
use std::net::SocketAddr;

/// Time for which an answer counts.
const ANSWER_COUNTS: Millis = Millis::from_secs(30);
/// Time for which a call without an answer counts.
const FAILURE_COUNTS: Millis = Millis::from_secs(10);
/// Most addresses that are remembered; further ones replace those with the oldest calls.
const ADDRS_MAX: usize = 256;

/// The last calls to an address; zero for none.
#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    answered_at: Millis,
    failed_at: Millis,
}

impl Calls {
    fn last(&self) -> Millis {
        self.answered_at.max(self.failed_at)
    }
}

/// Which dispatchers have answered this process lately, by address.
///
/// Memory is bounded by [`ADDRS_MAX`] addresses.
#[derive(Clone, Debug, Default)]
pub struct PeerReach {
    calls: IndexMap<SocketAddr, Calls>,
}

impl PeerReach {
    /// Records whether a call to an address was answered.
    pub fn record(&mut self, now: Millis, addr: SocketAddr, answered: bool) {
        if self.calls.len() >= ADDRS_MAX && !self.calls.contains_key(&addr) {
            let oldest = self.calls.iter().min_by_key(|(_, calls)| calls.last());
            let oldest = oldest.map(|(oldest, _)| *oldest);
            oldest.map(|oldest| self.calls.swap_remove(&oldest));
        }
        let calls = self.calls.entry(addr).or_default();
        if answered {
            calls.answered_at = now;
        } else {
            calls.failed_at = now;
        }
    }

    /// Whether the last call to an address has failed lately.
    pub fn has_failed(&self, now: Millis, addr: &SocketAddr) -> bool {
        let calls = self.calls.get(addr);
        calls.is_some_and(|calls| {
            calls.failed_at > calls.answered_at && now.since(calls.failed_at) <= FAILURE_COUNTS
        })
    }

    /// Returns up to `most` of the registered addresses in the order in which to ask them: those that have
    /// answered lately, then those without a recent call, the last registered first, then those that
    /// have failed, the earliest first. `registered` is in the order of registration.
    pub fn order(
        &self,
        now: Millis,
        registered: impl DoubleEndedIterator<Item = SocketAddr>,
        most: usize,
    ) -> Vec<SocketAddr> {
        let rank = |addr: &SocketAddr| {
            let calls = self.calls.get(addr).copied().unwrap_or_default();
            if self.has_failed(now, addr) {
                return (2, calls.failed_at);
            }
            let answered =
                calls.answered_at > Millis::ZERO && now.since(calls.answered_at) <= ANSWER_COUNTS;
            (u8::from(!answered), Millis::ZERO)
        };
        // An address may be registered for a dispatcher that is gone and for one that came later.
        let mut addrs: IndexSet<SocketAddr> = registered.rev().collect();
        addrs.sort_by_key(rank);
        addrs.into_iter().take(most).collect()
    }
}
