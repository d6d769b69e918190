//! One incarnation of an endpoint.

use super::endpoint_entry::EndpointEntry;

/// One incarnation of an endpoint, as an entry of the platform's list names it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// Instance id.
    pub instance: String,
    /// Unix time of its start in milliseconds, if the list names it.
    pub started_unix_ms: Option<u64>,
}

impl Incarnation {
    /// Returns the incarnation that an entry is about.
    pub fn of(entry: &EndpointEntry) -> Self {
        Self {
            instance: entry.instance.clone(),
            started_unix_ms: entry.started_unix_ms,
        }
    }

    /// Whether an entry is about this incarnation.
    pub fn is_listed_as(&self, entry: &EndpointEntry) -> bool {
        self.instance == entry.instance && self.started_unix_ms == entry.started_unix_ms
    }
}
