//! The configuration that a process has in force, and how it is spread among processes.

use crate::contracts::config_object::{CONTRACT_PREFIX, ConfigObject, VERSION_PREFIX};
use crate::contracts::contracts_in_force::ContractsInForce;
use crate::prelude::*;
use crate::store::store_client::ObjectList;
use indexmap::IndexMap;
use oleanderlock::config_journal::ConfigJournal;
use oleanderlock::journal_messages::{JournalAnswer, JournalEntry, PeerFetch};

/// The weight version that all workers of a model must load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedVersion {
    /// The version.
    pub version: Version,
    /// Fencing number of the order: the generation of the publication.
    pub fence: Fence,
}

/// What became of a message of a peer.
#[derive(Clone, Debug, Default)]
pub struct DeskOutcome {
    /// Whether the configuration in force has changed.
    pub changed: bool,
    /// What to ask next, and of which peer.
    pub fetch: Option<PeerFetch>,
}

/// The journal of one process with its objects read.
#[derive(Clone, Debug)]
pub struct ConfigDesk {
    journal: ConfigJournal,
    contracts: ContractsInForce,
    versions: IndexMap<String, PublishedVersion>,
}

impl ConfigDesk {
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
            self.read_all(&[name]);
        }
    }

    /// Returns the digest that goes with each heartbeat.
    pub fn digest(&self) -> wire::JournalDigest {
        self.journal.digest().into()
    }

    /// Returns the contracts in force.
    pub fn contracts(&self) -> &ContractsInForce {
        &self.contracts
    }

    /// Returns the published versions by model.
    pub fn all_published(&self) -> impl Iterator<Item = (&String, &PublishedVersion)> {
        self.versions.iter()
    }

    /// Returns all objects, deleted ones included.
    pub fn objects(&self) -> Vec<JournalEntry> {
        self.journal.entries()
    }

    /// Returns the priority that the contract gives to a class; 0 without one.
    pub fn priority_of(&self, class: &[u8]) -> u32 {
        let class = std::str::from_utf8(class).unwrap_or_default();
        let contract = self.contracts.of_class(class);
        let terms = contract.and_then(|found| found.classes.get(class));
        terms.map_or(0, |terms| terms.priority)
    }

    /// Compares a peer's digest with the own; returns what to send.
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

    /// Answers a fetch.
    pub fn on_fetch(&self, fetch: &wire::JournalFetch) -> Body {
        let answer = self.journal.on_fetch((*fetch).into());
        Body::JournalEntries(answer.into())
    }

    /// Puts in force what is newer among a peer's entries.
    pub fn on_entries(
        &mut self,
        now: Millis,
        peer: &str,
        entries: wire::JournalEntries,
    ) -> DeskOutcome {
        let outcome = self.journal.on_entries(now, peer, entries.into());
        self.read_all(&outcome.changed);
        DeskOutcome {
            changed: !outcome.changed.is_empty(),
            fetch: outcome.fetch,
        }
    }

    /// Puts changes that the store told in force; returns whether anything changed.
    pub fn on_store_changes(&mut self, objects: ObjectList) -> bool {
        let mut changed = Vec::new();
        for entry in entries_of(objects) {
            let name = entry.name.clone();
            if self.journal.apply(entry) {
                changed.push(name);
            }
        }
        self.read_all(&changed);
        !changed.is_empty()
    }

    /// Puts a whole listing of the store in force; returns whether anything changed.
    pub fn on_store_listing(&mut self, objects: ObjectList) -> bool {
        let revision = Generation(objects.revision);
        let listing = entries_of(objects);
        let changed = self.journal.apply_listing(revision, listing);
        self.read_all(&changed);
        !changed.is_empty()
    }

    fn read_all(&mut self, changed: &[String]) {
        for name in changed {
            let Some(entry) = self.journal.get(name) else {
                self.contracts.remove(name);
                continue;
            };
            if !self.read(&entry) {
                log::error!("event=config-unreadable name={name}");
            }
        }
    }

    /// Puts the text of an object in force; returns whether it could be read.
    fn read(&mut self, entry: &JournalEntry) -> bool {
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

/// Objects of the store as journal entries; a deleted one has an empty value.
fn entries_of(objects: ObjectList) -> Vec<JournalEntry> {
    let entries = objects.objects.into_iter().map(|object| JournalEntry {
        name: object.name,
        generation: Generation(object.version),
        value: object.value.unwrap_or_default().into(),
    });
    entries.collect()
}
