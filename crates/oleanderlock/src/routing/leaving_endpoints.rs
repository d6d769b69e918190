//! Endpoints that have announced in a response that they are leaving.
//!
//! Load pattern: endpoints are replaced one after the other while the platform's list is out of
//! date, because the store is down or this process has lost touch with it. The announcement comes
//! with the responses themselves and is newer than the list. A restarted endpoint may have the same
//! instance id again; it is known by its later start. It may leave before the list names that start.

use super::announcer::Announcer;
use super::endpoint_entry::EndpointEntry;
use indexmap::IndexMap;

/// Most endpoints that are remembered; the one that was recorded first is removed first.
const ENDPOINTS_MAX: usize = 4096;

/// Endpoints that have announced that they are leaving.
///
/// Memory is bounded by [`ENDPOINTS_MAX`] instance ids.
#[derive(Clone, Debug, Default)]
pub struct LeavingEndpoints {
    // Latest start of an incarnation that is leaving, as Unix time in milliseconds, by instance.
    latest_start: IndexMap<String, u64>,
}

impl LeavingEndpoints {
    /// Records an announcement of `instance`; returns whether it is the first one of this incarnation, as
    /// far as that is known. All incarnations up to the latest possible start of the announcer count as
    /// leaving.
    pub fn record(&mut self, instance: &str, announcer: Announcer) -> bool {
        let start = announcer.latest_start();
        if let Some(latest) = self.latest_start.get_mut(instance) {
            let is_new = announcer.is_later_than(*latest);
            *latest = start.max(*latest);
            return is_new;
        }
        if self.latest_start.len() >= ENDPOINTS_MAX {
            self.latest_start.shift_remove_index(0);
        }
        self.latest_start.insert(instance.to_owned(), start);
        true
    }

    /// Whether the incarnation of a listed endpoint has announced that it is leaving. An entry
    /// without a start may be of any incarnation and counts as leaving.
    pub fn contains(&self, entry: &EndpointEntry) -> bool {
        let latest = self.latest_start.get(&entry.instance);
        latest.is_some_and(|latest| entry.started_unix_ms.is_none_or(|start| start <= *latest))
    }
}
