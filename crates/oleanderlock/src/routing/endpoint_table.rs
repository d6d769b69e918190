//! Table of the endpoints in the platform's list.

use super::endpoint_entry::EndpointEntry;
use super::endpoint_state::EndpointState;
use indexmap::IndexMap;
use std::net::SocketAddr;

/// The known endpoints, by instance id.
///
/// Memory is bounded by the size of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    entries: IndexMap<String, EndpointEntry>,
}

impl EndpointTable {
    /// Adds or replaces an entry; returns false only if it replaced an equal one.
    pub fn put(&mut self, entry: EndpointEntry) -> bool {
        let before = self.entries.insert(entry.instance.clone(), entry);
        before.as_ref() != self.entries.last().map(|(_, now)| now)
    }

    /// Removes an entry; returns whether it was present.
    pub fn remove(&mut self, instance: &str) -> bool {
        self.entries.swap_remove(instance).is_some()
    }

    /// Returns the endpoints of a service that take new calls.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a EndpointEntry> {
        let entries = self.entries.values();
        entries.filter(move |entry| takes_calls(entry, service))
    }

    /// Returns the entry of an instance if it is an endpoint of a service and takes new calls.
    pub fn ready_entry(&self, instance: &str, service: &str) -> Option<&EndpointEntry> {
        let entry = self.entries.get(instance);
        entry.filter(|entry| takes_calls(entry, service))
    }

    /// Returns the entry of an instance, draining or not.
    pub fn get(&self, instance: &str) -> Option<&EndpointEntry> {
        self.entries.get(instance)
    }

    /// Whether the list names software versions for endpoints of a service.
    pub fn names_software(&self, service: &str) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.service == service && entry.software.is_some())
    }

    /// Returns the entries at an address, draining or not.
    pub fn at(&self, addr: SocketAddr) -> impl Iterator<Item = &EndpointEntry> {
        self.entries
            .values()
            .filter(move |entry| entry.addr == addr)
    }

    /// Creates a table; of entries with the same instance id the last one is kept.
    pub fn from_entries(entries: Vec<EndpointEntry>) -> Self {
        let entries = entries.into_iter();
        Self {
            entries: entries
                .map(|entry| (entry.instance.clone(), entry))
                .collect(),
        }
    }

    /// Returns all entries.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.values()
    }

    /// Returns the instance ids of all entries.
    pub fn instances(&self) -> impl Iterator<Item = &str> {
        self.entries.keys().map(String::as_str)
    }
}

fn takes_calls(entry: &EndpointEntry, service: &str) -> bool {
    entry.service == service && entry.state == EndpointState::Ready
}
