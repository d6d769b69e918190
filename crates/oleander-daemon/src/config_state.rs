//! The configuration that a process has in force.

use crate::config_object::{CONTRACT_PREFIX, ConfigObject, VERSION_PREFIX};
use crate::contracts_in_force::ContractsInForce;
use crate::prelude::*;
use indexmap::IndexMap;

/// The weight version that all workers of a model must load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublishedVersion {
    /// The version.
    pub version: Version,
    /// Fencing number of the order: the generation of the publication.
    pub fence: Fence,
}

/// Objects in force by name; only a greater generation replaces one.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    generations: IndexMap<String, Generation>,
    entries: IndexMap<String, wire::JournalEntry>,
    contracts: ContractsInForce,
    versions: IndexMap<String, PublishedVersion>,
    digest: u64,
}

impl ConfigState {
    /// Takes entries that are newer than those in force; returns whether anything changed.
    pub fn take(&mut self, entries: &wire::JournalEntries) -> bool {
        let mut changed = false;
        for entry in &entries.entries {
            changed |= self.put(entry);
        }
        if changed {
            self.digest = self.compute_digest();
        }
        changed
    }

    /// Returns the digest of names and generations in force.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the contracts in force.
    pub fn contracts(&self) -> &ContractsInForce {
        &self.contracts
    }

    /// Returns the version that the workers of a model must load.
    pub fn published(&self, model: &str) -> Option<PublishedVersion> {
        self.versions.get(model).copied()
    }

    /// Returns all objects in force.
    pub fn entries(&self) -> impl Iterator<Item = &wire::JournalEntry> {
        self.entries.values()
    }

    /// Returns the priority that the contract gives to a class; 0 without one.
    pub fn priority_of(&self, class: &[u8]) -> u32 {
        let class = std::str::from_utf8(class).unwrap_or_default();
        let terms = self
            .contracts
            .of_class(class)
            .and_then(|found| found.classes.get(class));
        terms.map_or(0, |terms| terms.priority)
    }

    fn put(&mut self, entry: &wire::JournalEntry) -> bool {
        let generation = Generation(entry.generation);
        if self
            .generations
            .get(&entry.name)
            .is_some_and(|standing| *standing >= generation)
        {
            return false;
        }
        self.generations.insert(entry.name.clone(), generation);
        self.entries.insert(entry.name.clone(), entry.clone());
        if !self.put_in_force(entry) {
            log::error!("event=config-unreadable name={}", entry.name);
        }
        true
    }

    /// Puts the text of an object in force; returns whether it could be read.
    fn put_in_force(&mut self, entry: &wire::JournalEntry) -> bool {
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
            fence: Fence(entry.generation),
        };
        self.versions.insert(model.to_owned(), published);
        true
    }

    fn compute_digest(&self) -> u64 {
        let mut names: Vec<&String> = self.generations.keys().collect();
        names.sort();
        let mut hasher = blake3::Hasher::new();
        for name in names {
            hasher.update(name.as_bytes());
            hasher.update(&[0]);
            hasher.update(&self.generations[name].0.to_be_bytes());
        }
        let digest = hasher.finalize();
        u64::from_be_bytes(digest.as_bytes()[..8].try_into().unwrap_or_default())
    }
}
