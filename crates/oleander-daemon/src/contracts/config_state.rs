//! The configuration that a process has in force.
//!
//! Processes compare digests of their journals with each heartbeat and fetch the entries that they
//! lack; entries also read the store.

use crate::contracts::config_object::{CONTRACT_PREFIX, ConfigObject, VERSION_PREFIX};
use crate::contracts::config_update::ConfigUpdate;
use crate::contracts::contracts_in_force::ContractsInForce;
use crate::contracts::published_version::PublishedVersion;
use crate::prelude::*;
use crate::store::object_list::ObjectList;
use indexmap::IndexMap;
use oleanderlock::config_journal::ConfigJournal;
use oleanderlock::journal_messages::{JournalAnswer, JournalEntry};

/// The configuration journal of one process, with its objects parsed.
#[derive(Clone, Debug)]
pub struct ConfigState {
    journal: ConfigJournal,
    contracts: ContractsInForce,
    versions: IndexMap<String, PublishedVersion>,
}

impl ConfigState {
    /// Creates the empty configuration of a process that has just started as `epoch`.
    pub fn new(epoch: Incarnation) -> Self {
        Self {
            journal: ConfigJournal::new(epoch),
            contracts: ContractsInForce::default(),
            versions: IndexMap::new(),
        }
    }

    /// Puts the objects of a snapshot in force.
    pub fn restore(&mut self, entries: Vec<JournalEntry>) {
        for entry in entries {
            let name = entry.name.clone();
            self.journal.apply(entry);
            self.update_parsed(&[name]);
        }
    }

    /// Returns the digest of the journal, which is sent with each heartbeat.
    pub fn digest(&self) -> wire::JournalDigest {
        self.journal.digest().into()
    }

    /// Returns the contracts in force.
    pub fn contracts(&self) -> &ContractsInForce {
        &self.contracts
    }

    /// Returns the published versions by model.
    pub fn published_versions(&self) -> impl Iterator<Item = (&String, &PublishedVersion)> {
        self.versions.iter()
    }

    /// Returns all objects as journal entries, deleted ones included.
    pub fn objects(&self) -> Vec<JournalEntry> {
        self.journal.entries()
    }

    /// Returns the priority of a class; 0 when no contract has the class.
    pub fn priority_of(&self, class: &[u8]) -> u32 {
        let class = std::str::from_utf8(class).unwrap_or_default();
        let contract = self.contracts.of_class(class);
        let terms = contract.and_then(|found| found.classes.get(class));
        terms.map_or(0, |terms| terms.priority)
    }

    /// Compares a peer's digest with that of this process; returns the message to send back, if any.
    pub fn on_digest(
        &mut self,
        now: Millis,
        peer: &str,
        digest: &wire::JournalDigest,
    ) -> Option<Body> {
        let answer = self.journal.on_digest(now, peer, (*digest).into())?;
        Some(match answer {
            JournalAnswer::Fetch(fetch) => Body::JournalFetch(fetch.into()),
            JournalAnswer::Tell(digest) => Body::JournalDigest(digest.into()),
        })
    }

    /// Returns the reply to a peer's fetch.
    pub fn on_fetch(&self, fetch: &wire::JournalFetch) -> Body {
        let answer = self.journal.on_fetch((*fetch).into());
        Body::JournalEntries(answer.into())
    }

    /// Puts the entries of a peer in force that are newer than those of this process.
    pub fn on_entries(
        &mut self,
        now: Millis,
        peer: &str,
        entries: wire::JournalEntries,
    ) -> ConfigUpdate {
        let outcome = self.journal.on_entries(now, peer, entries.into());
        self.update_parsed(&outcome.changed);
        ConfigUpdate {
            changed: !outcome.changed.is_empty(),
            fetch: outcome.fetch,
        }
    }

    /// Puts changes read from the store in force; returns whether anything changed.
    pub fn on_store_changes(&mut self, objects: ObjectList) -> bool {
        let mut changed = Vec::new();
        for entry in entries_of(objects) {
            let name = entry.name.clone();
            if self.journal.apply(entry) {
                changed.push(name);
            }
        }
        self.update_parsed(&changed);
        !changed.is_empty()
    }

    /// Puts a complete list of the objects in the store in force; returns whether anything changed.
    pub fn on_store_listing(&mut self, objects: ObjectList) -> bool {
        let revision = Generation(objects.revision);
        let listing = entries_of(objects);
        let changed = self.journal.apply_listing(revision, listing);
        self.update_parsed(&changed);
        !changed.is_empty()
    }

    /// Parses changed objects again; one that can't be parsed leaves the last valid one in force.
    fn update_parsed(&mut self, changed: &[String]) {
        for name in changed {
            let Some(entry) = self.journal.get(name) else {
                self.contracts.remove(name);
                continue;
            };
            if !self.parse_entry(&entry) {
                log::error!("event=config-unreadable name={name}");
            }
        }
    }

    /// Puts an object in force; returns false when its text is invalid.
    fn parse_entry(&mut self, entry: &JournalEntry) -> bool {
        let value = std::str::from_utf8(&entry.value).unwrap_or_default();
        let Some(object) = ConfigObject::parse(value) else {
            return false;
        };
        if entry.name.starts_with(CONTRACT_PREFIX) {
            return self.contracts.put(&entry.name, &object.text);
        }
        let Some(model) = entry.name.strip_prefix(VERSION_PREFIX) else {
            return true;
        };
        let Ok(version) = object.text.parse() else {
            return false;
        };
        let published = PublishedVersion {
            version: Version(version),
            fence: Fence(entry.generation.0),
        };
        self.versions.insert(model.to_owned(), published);
        true
    }
}

/// Converts objects of the store to journal entries; a deleted object has an empty value.
fn entries_of(objects: ObjectList) -> Vec<JournalEntry> {
    let entries = objects.objects.into_iter().map(|object| JournalEntry {
        name: object.name,
        generation: Generation(object.version),
        value: object.value.unwrap_or_default().into(),
    });
    entries.collect()
}
