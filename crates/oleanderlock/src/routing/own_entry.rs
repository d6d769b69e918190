//! Tells which of several entries at an address is that of the endpoint there.
//!
//! Entries may be written by others, and entries of earlier endpoints may still be listed at an address
//! that is used again. What the endpoint says of itself decides; what the entries claim, such as a later
//! start, only decides between those that it has not contradicted.

use super::endpoint_entry::EndpointEntry;
use super::endpoint_state::EndpointState;
use super::endpoint_table::EndpointTable;
use super::incarnation::Incarnation;
use indexmap::IndexSet;
use std::net::SocketAddr;

/// Most refused incarnations that are remembered; the one that was recorded first is removed first.
const REFUSED_MAX: usize = 1024;

/// What the endpoint at one address has said about the entries at its address.
///
/// Memory is bounded by [`REFUSED_MAX`] incarnations.
#[derive(Clone, Debug, Default)]
pub struct OwnEntry {
    // Incarnations for which the endpoint has refused requests.
    refused: IndexSet<Incarnation>,
    // Incarnation for which it has last accepted one.
    confirmed: Option<Incarnation>,
}

impl OwnEntry {
    /// Records that the endpoint has refused a request for the incarnation of `entry`.
    pub fn refuse(&mut self, entry: &EndpointEntry) {
        if self.refused.len() >= REFUSED_MAX {
            self.refused.shift_remove_index(0);
        }
        self.refused.insert(Incarnation::of(entry));
        self.confirmed
            .take_if(|confirmed| confirmed.is_listed_as(entry));
    }

    /// Records that the endpoint has accepted a request for the incarnation of `entry`.
    pub fn confirm(&mut self, entry: &EndpointEntry) {
        if !self
            .confirmed
            .as_ref()
            .is_some_and(|one| one.is_listed_as(entry))
        {
            self.confirmed = Some(Incarnation::of(entry));
        }
    }

    /// Whether the endpoint has refused a request for the incarnation of `entry`.
    pub fn has_refused(&self, entry: &EndpointEntry) -> bool {
        !self.refused.is_empty() && self.refused.contains(&Incarnation::of(entry))
    }

    /// Forgets the refused incarnations that are no longer listed.
    pub fn retain_listed(&mut self, endpoints: &EndpointTable) {
        self.refused.retain(|refused| {
            let listed = endpoints.get(&refused.instance);
            listed.is_some_and(|entry| refused.is_listed_as(entry))
        });
    }

    /// Returns the entry at `addr` that is most likely the endpoint's own, draining or not.
    ///
    /// `reported_start` is the start that the endpoint has last reported, as Unix time in milliseconds;
    /// `is_configured` tells whether the configuration has a service. In this order, an entry goes before
    /// another one if
    ///
    /// - the endpoint has refused no request for it,
    /// - it names the start that the endpoint has reported, or at least no other one,
    /// - its service is configured,
    /// - it is ready,
    /// - the endpoint has last accepted a request for it,
    /// - it names a later start, or is listed after the other one.
    pub fn find<'a>(
        &self,
        endpoints: &'a EndpointTable,
        addr: SocketAddr,
        reported_start: Option<u64>,
        is_configured: impl Fn(&str) -> bool,
    ) -> Option<&'a EndpointEntry> {
        endpoints.at(addr).max_by_key(|entry| {
            let start = match (reported_start, entry.started_unix_ms) {
                (Some(reported), Some(listed)) if reported != listed => 0,
                (Some(_), Some(_)) => 2,
                _ => 1,
            };
            let confirmed = self.confirmed.as_ref();
            (
                !self.has_refused(entry),
                start,
                is_configured(&entry.service),
                entry.state == EndpointState::Ready,
                confirmed.is_some_and(|confirmed| confirmed.is_listed_as(entry)),
                entry.started_unix_ms.unwrap_or_default(),
            )
        })
    }
}
