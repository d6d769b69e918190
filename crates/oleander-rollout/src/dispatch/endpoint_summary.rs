//! The endpoints in the form that the leader sends to agents and entries.

use crate::prelude::*;
use oleanderlock::affinity_score::hash_bytes;
use oleanderlock::routing::endpoint_entry::EndpointEntry;
use oleanderlock::routing::endpoint_table::EndpointTable;
use std::sync::Arc;

/// The endpoints without the fields that change with each load of weights, and their digest.
#[derive(Debug, Default)]
pub struct EndpointSummary {
    // Table that the entries were made from.
    source: Option<Arc<EndpointTable>>,
    /// All endpoints, without weights and warm-up time.
    pub entries: Vec<EndpointEntry>,
    /// Digest of the entries; 0 before the first update.
    pub digest: u64,
}

impl EndpointSummary {
    /// Summarizes the current endpoints; returns whether the digest has changed.
    pub fn update(&mut self, endpoints: &Arc<EndpointTable>) -> bool {
        if self
            .source
            .as_ref()
            .is_some_and(|source| Arc::ptr_eq(source, endpoints))
        {
            return false;
        }
        self.source = Some(Arc::clone(endpoints));
        self.entries = endpoints.entries().map(without_load).collect();
        let text = serde_json::to_vec(&self.entries).unwrap_or_default();
        // An agent that knows no endpoints reports the digest 0.
        let digest = hash_bytes(&text).max(1);
        let changed = digest != self.digest;
        self.digest = digest;
        changed
    }
}

/// Clears the fields that change often and that agents don't need.
fn without_load(entry: &EndpointEntry) -> EndpointEntry {
    EndpointEntry {
        weights: Default::default(),
        warm_up: Millis::ZERO,
        ..entry.clone()
    }
}
